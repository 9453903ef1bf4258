//! Refusals as problem documents (RFC 9457).

use lentil_core::{Refusal, RefusalReason, Span};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

const PROBLEM_JSON: &str = "application/problem+json";

#[derive(Debug, Serialize)]
pub(crate) struct Problem {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::Unauthorised => StatusCode::UNAUTHORIZED,
        RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::KeyConflict => StatusCode::CONFLICT,
        RefusalReason::KeyExpired | RefusalReason::VersionGone => StatusCode::GONE,
        RefusalReason::Overloaded | RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::EndpointFailed => StatusCode::BAD_GATEWAY,
        RefusalReason::Poison => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::OtherSystem => StatusCode::MISDIRECTED_REQUEST,
        RefusalReason::Stopping | RefusalReason::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl Problem {
    /// Builds the problem document of a refusal.
    pub(crate) fn new(refusal: &Refusal, detail: Option<String>) -> Self {
        Self {
            kind: "about:blank",
            title: refusal.reason.as_str(),
            status: status(refusal.reason).as_u16(),
            outcome: refusal.outcome().to_string(),
            detail,
        }
    }
}

/// Builds the HTTP response of a refusal.
pub(crate) fn response(refusal: &Refusal, detail: Option<String>) -> HttpResponse {
    let mut builder = HttpResponse::build(status(refusal.reason));
    if let Some(span) = refusal.retry_after {
        builder.header("retry-after", whole_seconds(span).to_string());
    }
    let problem = Problem::new(refusal, detail);
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let response = builder.content_type(PROBLEM_JSON).body(body);
    response.extensions_mut().insert(*refusal);
    response
}

fn whole_seconds(span: Span) -> u64 {
    span.as_us().div_ceil(1_000_000).max(1)
}

/// Builds the refusal of a request that was not sent to any agent.
pub(crate) fn never_sent(reason: RefusalReason) -> Refusal {
    Refusal::not_run(lentil_core::NotRunProof::NeverSent, reason)
}
