//! Refusals, which callers get instead of an endpoint's response.
//!
//! There are two kinds: "not run", which consumes the proof that nothing ran, and "unknown", which
//! promises nothing. The type system prevents sending one as the other.

use {agate_transport::proof::NotRunProof, std::time::Duration};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No route matches the host and path.
    RouteUnknown,
    /// The API key is missing or unknown.
    KeyUnknown,
    /// The body is larger than the limit.
    BodyLarge,
    /// The body did not arrive completely and in time.
    BodyCut,
    /// Both Transfer-Encoding and Content-Length are given, so the body's length is ambiguous.
    Framing,
    /// The instance is stopping.
    Stopping,
    /// The configuration or the quarantined requests are not known yet.
    NoConfig,
    /// The configuration is too old to trust an API key.
    ConfigOld,
    /// The service has no usable endpoint.
    NoEndpoint,
    /// Every endpoint that could serve it in time is full.
    Full,
    /// Every endpoint that could serve it limits its rate, and the share of this instance is used.
    RateLimited,
    /// Every endpoint that could serve it has asked for rest.
    Resting,
    /// The deadline passed.
    Late,
    /// An endpoint rejected it, and no further attempt is allowed.
    Rejected,
    /// An endpoint took it and the response was lost.
    Lost,
    /// An endpoint's response was invalid.
    InvalidResponse,
    /// It is suspected of crashing the endpoints that run it.
    Crashing,
    /// It goes on with a stream, and which software version began that cannot be told.
    VersionUnknown,
    /// What is known of the endpoints is too old to choose the software version of a stream.
    EndpointsOld,
    /// The quota of its organisation is used up.
    QuotaExceeded,
    /// There is no memory for what callers send, or its caller gives way to others.
    NoMemory,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 21] = [
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
        Cause::RateLimited,
        Cause::Resting,
        Cause::Late,
        Cause::Rejected,
        Cause::Lost,
        Cause::InvalidResponse,
        Cause::Crashing,
        Cause::VersionUnknown,
        Cause::EndpointsOld,
        Cause::QuotaExceeded,
        Cause::NoMemory,
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
            Cause::RateLimited => "rate_limited",
            Cause::Resting => "resting",
            Cause::Late => "late",
            Cause::Rejected => "rejected",
            Cause::Lost => "lost",
            Cause::InvalidResponse => "spoilt",
            Cause::Crashing => "crashing",
            Cause::VersionUnknown => "version_unknown",
            Cause::EndpointsOld => "endpoints_old",
            Cause::QuotaExceeded => "quota_exceeded",
            Cause::NoMemory => "no_memory",
        }
    }
}

/// What a refusal promises about the request.
#[derive(Debug)]
pub enum Promise {
    /// It did not run and never will.
    NotRun {
        /// Retry-after time; `None` if a retry does not help.
        after: Option<Duration>,
        /// Proof that no endpoint ran it.
        proof: NotRunProof,
    },
    /// It may have run.
    Unknown,
}

/// Refusal of a request that was not served.
#[derive(Debug)]
pub struct Refused {
    /// Reason of the refusal.
    pub cause: Cause,
    /// Whether the caller may rely on the request not having run.
    pub promise: Promise,
}

impl Refused {
    /// Makes the refusal of a request that did not run.
    pub fn not_run(cause: Cause, after: Option<Duration>, proof: NotRunProof) -> Self {
        Self { cause, promise: Promise::NotRun { after, proof } }
    }

    /// Makes the refusal of a request that may have run.
    pub fn unknown(cause: Cause) -> Self {
        Self { cause, promise: Promise::Unknown }
    }

    /// Whether the refusal promises that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self.promise, Promise::NotRun { .. })
    }
}
