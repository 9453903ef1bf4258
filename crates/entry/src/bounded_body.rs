//! Request bodies within the memory that all of them share.

use futures_util::StreamExt;
use lentil_core::{RefusalReason, Span};
use lentil_shell::{BodyBudget, BodyBuffer, BodyRefused};
use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::web::error::ErrorRenderer;
use ntex::web::{FromRequest, HttpRequest, HttpResponse};

use crate::problem::{self, never_sent};

/// Retry-After value of a refusal for lack of memory. Bodies that are not completed end
/// after some seconds.
const NO_MEMORY_RETRY_AFTER: Span = Span::from_s(1);

/// The limits of request bodies.
#[derive(Debug, Clone)]
pub(crate) struct BodyLimits {
    pub(crate) budget: BodyBudget,
    pub(crate) max_bytes: usize,
}

/// The body of a request, or the reason why there is no memory for it.
pub(crate) struct BoundedBody(Result<bytes::Bytes, BodyRefused>);

impl BoundedBody {
    /// The body.
    ///
    /// # Errors
    /// There is no memory for it. The response is returned.
    pub(crate) fn bytes(&self) -> Result<&[u8], HttpResponse> {
        self.0.as_ref().map(AsRef::as_ref).map_err(|error| {
            let refusal = never_sent(RefusalReason::Overloaded).retry_after(NO_MEMORY_RETRY_AFTER);
            problem::response(&refusal, Some(error.to_string()))
        })
    }
}

async fn read(mut buffer: BodyBuffer, payload: &mut Payload) -> Result<BoundedBody, PayloadError> {
    loop {
        let chunk = tokio::select! {
            chunk = payload.next() => chunk,
            () = buffer.evicted() => return Ok(BoundedBody(Err(BodyRefused::NoMemory))),
        };
        let Some(chunk) = chunk.transpose()? else {
            return Ok(BoundedBody(buffer.finish()));
        };
        match buffer.push(&chunk).await {
            Ok(()) => {}
            Err(BodyRefused::TooLong) => return Err(PayloadError::Overflow),
            Err(error @ BodyRefused::NoMemory) => return Ok(BoundedBody(Err(error))),
        }
    }
}

impl<E: ErrorRenderer> FromRequest<E> for BoundedBody {
    type Error = PayloadError;

    async fn from_request(
        request: &HttpRequest,
        payload: &mut Payload,
    ) -> Result<Self, PayloadError> {
        let Some(limits) = request.app_state::<BodyLimits>() else {
            return Ok(Self(Err(BodyRefused::NoMemory)));
        };
        let buffer = limits.budget.buffer(limits.max_bytes);
        let announced = request.headers().get("content-length");
        let announced = announced.and_then(|value| value.to_str().ok()?.parse().ok());
        if buffer.check_announced(announced.unwrap_or(0)).is_err() {
            return Err(PayloadError::Overflow);
        }
        read(buffer, payload).await
    }
}
