//! Answers that this system gives instead of an endpoint's.
//!
//! Two kinds: "not run", which consumes the proof that nothing ran, and "unknown", which promises
//! nothing. The type system keeps one from being sent as the other.

use {agate_link::truth::Untouched, std::time::Duration};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No route matches.
    RouteUnknown,
    /// The key is missing or unknown.
    KeyUnknown,
    /// The body is larger than the limit.
    BodyLarge,
    /// The body did not arrive.
    BodyCut,
    /// The request's framing is ambiguous.
    Framing,
    /// The instance is stopping.
    Stopping,
    /// No configuration is known yet.
    NoConfig,
    /// The configuration may be too old to trust a key.
    ConfigOld,
    /// No endpoint of the service is known to work.
    NoEndpoint,
    /// Every endpoint that could serve it in time is full.
    Full,
    /// Its time is up.
    Late,
    /// An endpoint refused it, and no other attempt may be made.
    Rejected,
    /// An endpoint took it and the answer was lost.
    Lost,
    /// An endpoint answered with bytes that are not its answer.
    Spoilt,
    /// It repeatedly crashed the endpoints that ran it.
    Crashing,
}

impl Cause {
    /// Every cause, for metrics.
    pub const ALL: [Cause; 15] = [
        Cause::RouteUnknown,
        Cause::KeyUnknown,
        Cause::BodyLarge,
        Cause::BodyCut,
        Cause::Framing,
        Cause::Stopping,
        Cause::NoConfig,
        Cause::ConfigOld,
        Cause::NoEndpoint,
        Cause::Full,
        Cause::Late,
        Cause::Rejected,
        Cause::Lost,
        Cause::Spoilt,
        Cause::Crashing,
    ];

    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Cause::RouteUnknown => "route_unknown",
            Cause::KeyUnknown => "key_unknown",
            Cause::BodyLarge => "body_large",
            Cause::BodyCut => "body_cut",
            Cause::Framing => "framing",
            Cause::Stopping => "stopping",
            Cause::NoConfig => "no_config",
            Cause::ConfigOld => "config_old",
            Cause::NoEndpoint => "no_endpoint",
            Cause::Full => "full",
            Cause::Late => "late",
            Cause::Rejected => "rejected",
            Cause::Lost => "lost",
            Cause::Spoilt => "spoilt",
            Cause::Crashing => "crashing",
        }
    }
}

/// What is promised about a request that was not served.
#[derive(Debug)]
pub enum Promise {
    /// It did not run and never will; it may come back after this time.
    NotRun {
        /// Time after which to come back, if coming back may help.
        after: Option<Duration>,
        /// The proof.
        proof: Untouched,
    },
    /// Nothing is promised.
    Unknown,
}

/// A request that was not served.
#[derive(Debug)]
pub struct Refused {
    /// Why.
    pub cause: Cause,
    /// What is promised.
    pub promise: Promise,
}

impl Refused {
    /// Refuses a request of which nothing ran.
    pub fn not_run(cause: Cause, after: Option<Duration>, proof: Untouched) -> Self {
        Self { cause, promise: Promise::NotRun { after, proof } }
    }

    /// Ends a request that may have run.
    pub fn unknown(cause: Cause) -> Self {
        Self { cause, promise: Promise::Unknown }
    }

    /// Whether it is known that nothing ran.
    pub fn untouched(&self) -> bool {
        matches!(self.promise, Promise::NotRun { .. })
    }
}
