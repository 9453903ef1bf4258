//! The body of an endpoint's answer to a call, within the memory that all answers share.

use bytes::Bytes;
use futures_util::StreamExt;
use lentil_shell::{BodyBudget, BodyBuffer};
use ntex::client::ClientResponse;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode, Version};

use crate::engine::EngineError;

/// Longest answer to a call, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Returns an error if the end of an answer's body can't be known: the HTTP library takes a
/// body with neither a length nor chunks for an empty one.
pub(crate) fn check_framing(method: &Method, response: &ClientResponse) -> Result<(), EngineError> {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || response.version() < Version::HTTP_11;
    let has_body = method != Method::HEAD
        && ![StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&response.status());
    if has_body && !is_framed {
        let reason = "the answer has neither a length nor chunks";
        return Err(EngineError::Broken(reason.to_owned()));
    }
    Ok(())
}

/// Reads the whole body of an answer.
pub(crate) async fn read(
    mut response: ClientResponse,
    budget: &BodyBudget,
) -> Result<Bytes, EngineError> {
    let broken = |reason: String| EngineError::Broken(reason);
    let mut buffer: BodyBuffer = budget.buffer(ANSWER_MAX_BYTES);
    loop {
        let chunk = tokio::select! {
            chunk = response.next() => chunk,
            () = buffer.evicted() => {
                return Err(broken("its body had to give way to others".to_owned()));
            }
        };
        let Some(chunk) = chunk else {
            let body = buffer.finish();
            return body.map_err(|error| broken(error.to_string()));
        };
        let chunk = chunk.map_err(|error| broken(error.to_string()))?;
        let pushed = buffer.push(&chunk).await;
        pushed.map_err(|error| broken(error.to_string()))?;
    }
}
