//! What differs between the interfaces that requests are spoken in, as a struct of functions.

use {
    crate::{ask::Ask, refusal::Refused},
    agate_link::exchange::Signs,
    http::{HeaderMap, Response, response::Parts},
    std::time::Duration,
};

/// What is told to an endpoint besides the caller's own headers.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Incarnation of the endpoint that is meant.
    pub endpoint: &'a str,
    /// Time that the endpoint may take.
    pub left: Duration,
    /// Organisation that the request runs for.
    pub org: Option<&'a str>,
    /// Event behind which the stream shall go on.
    pub resume: Option<&'a str>,
    /// Rank of the request for the endpoint's own queue, 0 first.
    pub urgency: u8,
    /// What an engine shall do with it.
    pub part: Part<'a>,
}

/// Which part of a request's work is asked of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// The whole request.
    Whole,
    /// Only reading the prompt, whose memory is kept for another engine.
    Read,
    /// Generating from the memory named so.
    Generate(&'a str),
}

/// What the head of an endpoint's answer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint's own answer, to be passed on.
    Good,
    /// The endpoint's own statement that the request failed there.
    Failed,
    /// Not an answer that may be passed on; the request may have run.
    Spoilt(&'static str),
}

/// What a prompt that was read for another engine is called there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// Name of the memory, unique at its engine.
    pub handle: String,
}

/// One interface.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// How endpoints mark their answers.
    pub signs: Signs,
    /// Reads what a request's head says about itself.
    pub read: fn(&HeaderMap) -> Ask,
    /// Headers of a request as the endpoint sees them.
    pub compose: fn(&HeaderMap, &Outgoing<'_>) -> HeaderMap,
    /// Judges the head of an endpoint's answer.
    pub judge: fn(&Parts) -> Verdict,
    /// Whether an answer states that another incarnation listens at the address.
    pub misdirected: fn(&Parts) -> bool,
    /// Headers of an endpoint's answer as the caller sees them.
    pub relay: fn(&HeaderMap) -> HeaderMap,
    /// Answer that says that a request was not served.
    pub refuse: fn(&Refused) -> Response<()>,
    /// Reads the answer to a prompt that was read for another engine.
    pub kept: fn(&[u8]) -> Option<Kept>,
    /// Names such memory at its engine towards the other one.
    pub source: fn(std::net::SocketAddr, &Kept) -> String,
}
