//! Reasons for refusing or retrying a request, with their stable codes.
//!
//! Codes are part of the public interface: they appear in error bodies, in metric labels and on
//! the operator pages. Variants may be added, but the code of a variant never changes.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not executed: no endpoint received any byte of it, or the endpoint stated
    /// that it did not run it.
    NotRun,
    /// The request may have been executed, fully or in part.
    Unknown,
}

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident => $code:literal, $status:literal;)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$vmeta])* $variant,)*
        }

        impl $name {
            /// Every variant, in declaration order.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Stable code for error bodies and metric labels.
            pub fn code(self) -> &'static str {
                match self { $($name::$variant => $code,)* }
            }

            /// HTTP status of the response; for a retry reason, the status if no retry is left.
            pub fn status(self) -> u16 {
                match self { $($name::$variant => $status,)* }
            }
        }
    };
}

reasons! {
    /// Why a request was refused or failed.
    Refusal {
        /// No route matches the path.
        RouteUnknown => "route_unknown", 404;
        /// The route does not allow the method.
        MethodRejected => "method_not_allowed", 405;
        /// The route needs an API key and none was sent.
        KeyMissing => "key_missing", 401;
        /// The API key is unknown or no longer valid.
        KeyInvalid => "key_invalid", 401;
        /// The API key was revoked while the request waited.
        KeyRevoked => "key_withdrawn", 401;
        /// The organisation may not use this model or route.
        Forbidden => "forbidden", 403;
        /// The body is larger than the limit.
        BodyLarge => "body_too_large", 413;
        /// The header section is larger than the limit.
        HeadersLarge => "headers_too_large", 431;
        /// The request was not received within its time limit.
        RequestSlow => "request_timeout", 408;
        /// The body does not have the form that the route expects.
        BodyMalformed => "body_malformed", 400;
        /// The request framing is ambiguous or malformed.
        FramingInvalid => "framing_invalid", 400;
        /// The model is not configured.
        ModelUnknown => "model_unknown", 404;
        /// The organisation's token budget is used up.
        BudgetSpent => "budget_spent", 429;
        /// The organisation's queue is full.
        QueueFull => "queue_full", 429;
        /// The deadline would pass before a response.
        DeadlineUnmet => "deadline_unmet", 503;
        /// No endpoint of the pool is available for the request.
        NoEndpoint => "no_endpoint", 503;
        /// The configuration cannot be confirmed to be current.
        ConfigStale => "config_stale", 503;
        /// The store that records idempotency keys is unavailable.
        ClaimUnavailable => "claim_unavailable", 503;
        /// The idempotency key was used with a different request.
        ClaimConflict => "claim_conflict", 409;
        /// An execution with the same idempotency key has an unknown outcome.
        ClaimUnknown => "claim_outcome_unknown", 409;
        /// The route requires an idempotency key and none was sent.
        ClaimMissing => "claim_key_missing", 400;
        /// The request is quarantined because it crashed endpoints before.
        Quarantined => "request_quarantined", 422;
        /// There is no memory for what callers send, or its caller gives way to others.
        NoMemory => "no_memory", 503;
        /// The instance is shutting down.
        Stopping => "instance_stopping", 503;
        /// The endpoint failed and may have executed the request.
        EndpointFailed => "endpoint_failed", 502;
        /// The endpoint's response was incomplete or did not belong to this request.
        ResponseInvalid => "answer_invalid", 502;
        /// The deadline passed while the endpoint processed the request.
        DeadlinePassed => "deadline_passed", 504;
    }
}

reasons! {
    /// Why a request was sent to an endpoint again.
    Retry {
        /// The connection could not be opened.
        ConnectFailed => "connect_failed", 503;
        /// The connection closed before any byte of the request was written.
        Unsent => "unsent", 503;
        /// The endpoint stated that it did not run the request.
        DeclaredNotRun => "declared_not_run", 503;
        /// The response was lost, and the request is idempotent.
        Idempotent => "idempotent_lost", 502;
        /// A model's response stream broke and was resumed.
        StreamResumed => "stream_resumed", 502;
        /// The endpoint was about to be removed, so another one continued the request.
        EndpointLeaving => "endpoint_leaving", 503;
        /// A connection stopped responding while new connections worked.
        ConnectionSilent => "connection_silent", 504;
    }
}
