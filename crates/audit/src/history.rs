//! What happened in a run, as plain data.
//!
//! A history is put together from the records of callers and from the logs of the stand-ins, never
//! from what the checked code says of itself, with three exceptions that only the code can tell:
//! the generations it installed, the leases it believes to hold, and the end of a graceful stop.

use std::time::Duration;

/// Time since the start of the run.
pub type Time = Duration;
/// Name of an instance, an endpoint, the store or another process.
pub type Process = String;
/// Identifier that a caller gave to one sending of a request; endpoints see it too.
pub type CallId = String;
/// Name of an organisation.
pub type Org = String;
/// Fencing token.
pub type Fence = u64;

/// Name under which faults of the platform's key-value service are entered.
pub const STORE: &str = "store";

/// Everything that happened in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Requests as callers sent them and the replies they got.
    pub calls: Vec<Call>,
    /// Requests as endpoints ran them.
    pub runs: Vec<Run>,
    /// Orders as engines got them, by their time.
    pub orders: Vec<EngineOrder>,
    /// Orders as the platform's fleet got them, in their order.
    pub fleet: Vec<FleetOrder>,
    /// Usage reports as the platform got them, in their order.
    pub reports: Vec<Report>,
    /// Leases that processes believed to hold.
    pub holds: Vec<Hold>,
    /// Keys that were ever given out.
    pub keys: Vec<Key>,
    /// Notices that endpoints leave.
    pub leaving: Vec<Leaving>,
    /// Generations of the configuration that were accepted.
    pub accepted: Vec<Accepted>,
    /// Generations of the configuration that instances put in force, by their time.
    pub installs: Vec<Install>,
    /// Lives of instances.
    pub lives: Vec<Life>,
    /// Faults that nobody planned.
    pub faults: Vec<Fault>,
    /// Changes that operators planned, other than stops of instances.
    pub changes: Vec<Change>,
    /// Bounds that the run is held to.
    pub bounds: Bounds,
    /// Time at which the records were closed.
    pub end: Time,
}

/// Bounds of the lines that say "within seconds".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From the acceptance of a key's withdrawal to the last start of a request with it.
    pub withdrawal: Duration,
    /// From the notice that an endpoint leaves to the last start of a request on it.
    pub leaving: Duration,
    /// From the acceptance of a generation to its being in force everywhere.
    pub spread: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        let secs = Duration::from_secs;
        Self { withdrawal: secs(12), leaving: secs(5), spread: secs(12) }
    }
}

/// A span of time; `until` is `None` if it lasted to the end of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Span {
    /// Begin.
    pub from: Time,
    /// End.
    pub until: Option<Time>,
}

impl Span {
    /// The span between two times.
    pub fn new(from: Time, until: impl Into<Option<Time>>) -> Self {
        Self { from, until: until.into() }
    }

    /// Whether the spans have a moment in common.
    pub fn overlaps(&self, other: &Span) -> bool {
        let before = |a: &Span, b: &Span| a.until.is_some_and(|end| end < b.from);
        !before(self, other) && !before(other, self)
    }
}

/// What a reply said about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request did not run.
    NotRun,
    /// Nothing is known.
    Unknown,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A successful reply that came to its proper end, with its content.
    Whole(String),
    /// An error reply with its code.
    Refused(String, Claim),
    /// The connection ended before the reply did, or without one.
    Cut,
    /// Neither a reply nor the end of the connection came before the run ended.
    Open,
}

/// One sending of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier of this sending.
    pub id: CallId,
    /// Instance that it was sent to.
    pub instance: Process,
    /// Key that it carried, if any.
    pub key: Option<String>,
    /// Whether its route needs no key.
    pub open: bool,
    /// Idempotency key; a later sending of the same request has the same one.
    pub booking: Option<String>,
    /// The only right content of a successful reply.
    pub expected: String,
    /// Time from sending to ending.
    pub span: Span,
    /// How it ended.
    pub ending: Ending,
}

/// How a run ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// All of it was done.
    Whole,
    /// The other end closed the connection, or it broke.
    Left,
    /// The endpoint crashed.
    Crashed,
    /// An order to the endpoint ended it.
    Evicted,
    /// It still ran when the logs were read.
    Running,
}

/// One request that an endpoint began to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Endpoint that ran it.
    pub endpoint: Process,
    /// The sending that it belongs to.
    pub call: CallId,
    /// Organisation that the endpoint was told, if any.
    pub org: Option<Org>,
    /// Booking that the endpoint took, if it was one.
    pub booking: Option<String>,
    /// Headers as the endpoint saw them.
    pub headers: Vec<(String, String)>,
    /// Time in the endpoint.
    pub span: Span,
    /// How it ended.
    pub end: RunEnd,
}

/// An order as an engine got it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// Engine.
    pub engine: Process,
    /// Authority whose lease covers the engine.
    pub authority: String,
    /// Identifier; a repeated order has the same one.
    pub id: String,
    /// What it asks for.
    pub kind: String,
    /// Fencing token.
    pub fence: Fence,
    /// Time from its arrival to the end of its work.
    pub span: Span,
    /// Whether it had an effect; false if the engine refused it.
    pub effect: bool,
}

/// An order as the fleet got it; one that the fleet knew already is left out.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetOrder {
    /// Authority that ordered.
    pub authority: String,
    /// Idempotency token.
    pub id: String,
    /// Fencing token under which it was ordered.
    pub fence: Fence,
}

/// A usage report as the platform got it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Window.
    pub window: String,
    /// Shard.
    pub shard: String,
    /// Figures in a fixed form.
    pub figures: String,
}

/// A lease that a process believed to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    /// What the lease is for; begins with `usage/`, `fleet/` or `piece/`.
    pub authority: String,
    /// Process.
    pub holder: Process,
    /// Fencing token.
    pub fence: Fence,
    /// Time in which it was seen to hold it.
    pub span: Span,
}

/// A key that was given out.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// Value that callers send.
    pub value: String,
    /// Organisation.
    pub org: Org,
    /// Time at which its withdrawal was accepted.
    pub withdrawn: Option<Time>,
}

/// A notice that an endpoint leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaving {
    /// Endpoint.
    pub endpoint: Process,
    /// Time of the notice, up to its end if it was taken back.
    pub span: Span,
}

/// A generation of the configuration that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Generation.
    pub generation: u64,
    /// Time.
    pub at: Time,
}

/// A generation that an instance put in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Install {
    /// Instance.
    pub instance: Process,
    /// Generation.
    pub generation: u64,
    /// Time at which it was first seen in force.
    pub at: Time,
}

/// How an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEnd {
    /// It runs.
    None,
    /// It was killed.
    Killed,
    /// It was told to stop at this time, and ended by itself.
    Stopped(Time),
    /// It was told to stop at this time, and ended without finishing its shutdown.
    Broken(Time),
}

/// Life of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Life {
    /// Instance.
    pub instance: Process,
    /// Time from its serving callers to its end.
    pub span: Span,
    /// How it ended.
    pub end: LifeEnd,
}

/// What of a process a fault struck.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// All of it.
    Whole,
    /// Its way to the store.
    Store,
}

/// A fault that nobody planned.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Process that it struck.
    pub process: Process,
    /// What of the process it struck.
    pub part: Part,
    /// What it was, for a reader.
    pub kind: String,
    /// Time in which it could be felt.
    pub span: Span,
}

/// A change that was planned: a new configuration, an order, an endpoint that leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// What it was, for a reader.
    pub kind: String,
    /// Time from its begin to its effect everywhere.
    pub span: Span,
}
