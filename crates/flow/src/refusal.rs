//! Refusals and the error responses that callers receive.

use {
    crate::header,
    agate_core::{Outcome, Refusal},
    agate_transport::proof::NotRunProof,
    http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    serde::Serialize,
    std::time::Duration,
    volo_http::body::Body,
};

/// Refusal or failure of a request.
#[derive(Debug)]
pub struct Refused {
    reason: Refusal,
    outcome: Outcome,
    message: String,
    after: Option<Duration>,
}

/// Result of a step in the handling of a request.
pub type Result<T> = std::result::Result<T, Refused>;

impl Refused {
    /// Refuses a request that was not run; consumes the proof.
    pub fn not_run(reason: Refusal, message: impl Into<String>, _proof: NotRunProof) -> Self {
        Self { reason, outcome: Outcome::NotRun, message: message.into(), after: None }
    }

    /// Fails a request that may have run.
    pub fn unknown(reason: Refusal, message: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::Unknown, message: message.into(), after: None }
    }

    /// Ends a request, as not run if `proof` is present.
    pub fn with_proof(
        reason: Refusal,
        message: impl Into<String>,
        proof: Option<NotRunProof>,
    ) -> Self {
        match proof {
            Some(proof) => Self::not_run(reason, message, proof),
            None => Self::unknown(reason, message),
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// Reason of the refusal.
    pub fn reason(&self) -> Refusal {
        self.reason
    }

    /// Whether the request was not run or may have run.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Builds the error response for the request `id`.
    pub fn response(&self, id: &str) -> Response<Body> {
        let mut out = Response::new(Body::from(self.body(id)));
        *out.status_mut() =
            StatusCode::from_u16(self.reason.status()).expect("reasons carry valid statuses");
        let headers = out.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(header::REQUEST_ID, HeaderValue::from_str(id).expect("ids are printable"));
        if self.outcome == Outcome::NotRun {
            headers.insert(header::NOT_RUN, HeaderValue::from_static("true"));
        }
        if let Some(after) = self.after {
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        out
    }

    /// Returns the JSON body of the error; it is also the last event of a broken stream.
    pub fn body(&self, id: &str) -> String {
        let error = ErrorBody {
            code: self.reason.code(),
            message: &self.message,
            request_id: id,
            run: self.outcome,
            after: self.after.map(|a| a.as_millis() as u64),
        };
        serde_json::to_string(&Envelope { error }).expect("error bodies serialise")
    }
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: &'static str,
    message: &'a str,
    request_id: &'a str,
    run: Outcome,
    #[serde(rename = "retry_after_ms", skip_serializing_if = "Option::is_none")]
    after: Option<u64>,
}
