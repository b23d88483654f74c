//! Time that a rejection states in its `Retry-After` header.

use {
    http::{StatusCode, header::RETRY_AFTER, response::Parts},
    std::time::Duration,
};

/// What a response states about the time after which the endpoint may be asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// It is no rejection, or states no time.
    Absent,
    /// The endpoint wants no requests for this time.
    After(Duration),
    /// The value is not a number of seconds.
    Malformed,
}

/// Reads the time that a response with status 429 or 503 states, in seconds or fractions of them.
pub fn read(head: &Parts) -> RetryAfter {
    let rejections = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    let value = head.headers.get(RETRY_AFTER).filter(|_| rejections.contains(&head.status));
    let Some(value) = value else { return RetryAfter::Absent };
    let seconds = value.to_str().ok().and_then(|v| v.trim().parse::<f64>().ok());
    match seconds.filter(|s| s.is_finite() && *s >= 0.0) {
        Some(seconds) => {
            RetryAfter::After(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        }
        None => RetryAfter::Malformed,
    }
}
