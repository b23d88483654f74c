//! Reasons for refusing or retrying a request, with the stable codes shown to callers.
//!
//! Codes and labels are part of the public interface: they appear in error bodies, in metrics and
//! in the operators' pages, so a variant may be added but its code never changes.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No endpoint received any byte of the request, or an endpoint stated that it did not run it.
    NotRun,
    /// The request may have run, wholly or in part.
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

            /// Stable code in error bodies and metric labels.
            pub fn code(self) -> &'static str {
                match self { $($name::$variant => $code,)* }
            }

            /// HTTP status of the reply; for a retry reason, the status if no retry is left.
            pub fn status(self) -> u16 {
                match self { $($name::$variant => $status,)* }
            }
        }
    };
}

reasons! {
    /// Why a request was refused or ended without its answer.
    Refusal {
        /// No route matches the path.
        RouteUnknown => "route_unknown", 404;
        /// The route exists but not for this method.
        MethodRejected => "method_not_allowed", 405;
        /// No key was sent on a keyed route.
        KeyMissing => "key_missing", 401;
        /// The key is not known or no longer valid.
        KeyInvalid => "key_invalid", 401;
        /// The key was withdrawn while the request waited.
        KeyWithdrawn => "key_withdrawn", 401;
        /// The organisation may not use this model or route.
        Forbidden => "forbidden", 403;
        /// The body is larger than the limit.
        BodyLarge => "body_too_large", 413;
        /// The header section is larger than the limit.
        HeadersLarge => "headers_too_large", 431;
        /// The request did not arrive in time.
        RequestSlow => "request_timeout", 408;
        /// The body is not what the route expects.
        BodyMalformed => "body_malformed", 400;
        /// The request framing is ambiguous or malformed.
        FramingInvalid => "framing_invalid", 400;
        /// The model is not configured.
        ModelUnknown => "model_unknown", 404;
        /// The organisation's budget is spent.
        BudgetSpent => "budget_spent", 429;
        /// The organisation's queue is full.
        QueueFull => "queue_full", 429;
        /// The deadline would pass before an answer.
        DeadlineUnmet => "deadline_unmet", 503;
        /// No endpoint of the pool can take the request.
        NoEndpoint => "no_endpoint", 503;
        /// The configuration cannot be proved fresh.
        ConfigStale => "config_stale", 503;
        /// The store that records claims is unavailable.
        ClaimUnavailable => "claim_unavailable", 503;
        /// The booking key was used with another request.
        ClaimConflict => "claim_conflict", 409;
        /// A run with the same booking key has an unknown outcome.
        ClaimUnknown => "claim_outcome_unknown", 409;
        /// The route requires a booking key and none was sent.
        ClaimMissing => "claim_key_missing", 400;
        /// The request crashed endpoints before and is quarantined.
        Quarantined => "request_quarantined", 422;
        /// The instance is stopping.
        Stopping => "instance_stopping", 503;
        /// The endpoint failed after it may have run the request.
        EndpointFailed => "endpoint_failed", 502;
        /// The endpoint's answer was incomplete or not an answer to this request.
        AnswerInvalid => "answer_invalid", 502;
        /// The deadline passed while the endpoint was working.
        DeadlinePassed => "deadline_passed", 504;
    }
}

reasons! {
    /// Why a request was sent to an endpoint again.
    Retry {
        /// The connection could not be opened.
        ConnectFailed => "connect_failed", 503;
        /// The connection closed before any byte was written.
        Unsent => "unsent", 503;
        /// The endpoint stated that it did not run the request.
        DeclaredUnrun => "declared_not_run", 503;
        /// The call is idempotent and its answer was lost.
        Idempotent => "idempotent_lost", 502;
        /// A model stream broke and was resumed.
        StreamResumed => "stream_resumed", 502;
        /// The endpoint was about to be taken away, and the work went on elsewhere.
        EndpointLeaving => "endpoint_leaving", 503;
        /// A connection stayed silent while new ones worked.
        ConnectionSilent => "connection_silent", 504;
    }
}
