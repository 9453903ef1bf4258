//! The body of an endpoint's answer to a call.

use ntex::client::ClientResponse;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode, Version};

use crate::engine::EngineError;

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
