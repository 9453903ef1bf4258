//! Runs calls of a plain service.

use std::rc::Rc;

use lentil_core::{Refusal, RefusalReason, RetryAfter, is_final_status};
use lentil_shell::{BodyBudget, TraceSpan};
use lentil_wire::v1;
use ntex::client::ClientResponse;
use ntex::http::{Method, StatusCode};
use tokio::sync::oneshot;

use crate::admission::Command;
use crate::answer_body;
use crate::endpoint::Endpoint;
use crate::engine::EngineError;
use crate::request::{ServiceCall, not_dispatched, refusal_reply};

/// Starts a call at the endpoint and sends its result as `reply`.
pub(crate) fn start(
    endpoint: &Rc<Endpoint>,
    call: ServiceCall,
    reply: oneshot::Sender<v1::CallReply>,
) {
    let endpoint = Rc::clone(endpoint);
    ntex::rt::spawn(async move {
        let attempt = call.attempt;
        let answer = send_call(&endpoint, &call).await;
        let answer = match answer {
            Ok((answer, Some(retry_after))) => {
                // Before the reply, so that the next call meets it.
                let rest = Command::Rest { retry_after };
                let _ = endpoint.commands.send(rest).await;
                Ok(answer)
            }
            Ok((answer, None)) => Ok(answer),
            Err(error) => Err(error),
        };
        let succeeded = answer.is_ok();
        endpoint.counters.call_ended(match &answer {
            Ok(_) => "answered",
            Err(EngineError::Connect(_)) => "not_sent",
            Err(_) => "broken",
        });
        let message = match answer {
            Ok(mut answer) => v1::CallReply {
                attempt: attempt.to_string(),
                result: Some(v1::call_reply::Result::Answer({
                    answer.load = endpoint.load();
                    answer
                })),
            },
            Err(EngineError::Connect(_)) => refusal_reply(
                attempt,
                not_dispatched(attempt, RefusalReason::EndpointFailed),
            ),
            Err(_) => refusal_reply(attempt, Refusal::unknown(RefusalReason::EndpointFailed)),
        };
        let _ = reply.send(message);
        let _ = endpoint
            .commands
            .send(Command::Finished { attempt, succeeded })
            .await;
    });
}

/// Returns the answer, and how long the endpoint wants no calls if it says so.
async fn send_call(
    endpoint: &Endpoint,
    call: &ServiceCall,
) -> Result<(v1::Answer, Option<RetryAfter>), EngineError> {
    let span = TraceSpan::from_traceparent("endpoint", &call.traceparent);
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|error| EngineError::Connect(error.to_string()))?;
    let url = format!("{}{}", endpoint.base_url, call.path);
    // The answer does not name its call. On a kept connection it could be an earlier one,
    // repeated or late.
    let mut request = endpoint
        .client
        .request(method.clone(), url)
        .force_close()
        .header("traceparent", span.traceparent());
    for header in &call.headers {
        request = request.header(header.name.as_str(), header.value.as_slice());
    }
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key.text.as_ref());
    }
    let response = request
        .send_body(call.body.clone())
        .await
        .map_err(|error| EngineError::from(&error))?;
    if !is_final_status(response.status().as_u16()) {
        return Err(EngineError::Status(response.status()));
    }
    answer_body::check_framing(&method, &response)?;
    let retry_after = retry_after(&response);
    let answer = read_answer(response, &endpoint.answers).await?;
    Ok((answer, retry_after))
}

/// Returns how long an endpoint that turns a call away wants no more.
fn retry_after(response: &ClientResponse) -> Option<RetryAfter> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = response.headers().get("retry-after")?.to_str().ok()?;
    text.parse()
        .inspect_err(
            |error| log::info!(text = text; "ignored the Retry-After of the endpoint: {error}"),
        )
        .ok()
}

async fn read_answer(
    response: ClientResponse,
    budget: &BodyBudget,
) -> Result<v1::Answer, EngineError> {
    let status = response.status().as_u16().into();
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| name.as_str() == "content-type")
        .map(|(name, value)| v1::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    let body = answer_body::read(response, budget).await?;
    Ok(v1::Answer {
        status,
        headers,
        body: body.to_vec(),
        replayed: false,
        load: None,
    })
}
