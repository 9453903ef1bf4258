//! Calls to plain services.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use lentil_core::{
    EndpointId, Fingerprint, Outcome, Priority, Refusal, RefusalReason, ServiceName, Span,
    TokenCount, is_final_status,
};
use lentil_wire::v1;
use ntex::http::StatusCode;
use ntex::web::{HttpRequest, HttpResponse};

use crate::attempt::parse_refusal;
use crate::callers::{Context, new_attempt};
use crate::keyed;
use crate::member::Target;
use crate::problem::{self, never_sent};
use crate::route::{RouteParams, RoutedRequest, may_retry_elsewhere};
use crate::routing::AgentConnection;

/// Request headers that are forwarded to the service.
const FORWARDED_HEADERS: [&str; 3] = ["accept", "content-type", "accept-language"];

/// Methods that may be retried and need no idempotency key.
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Handles a call to a plain service.
pub(crate) async fn call(context: &Context, request: &HttpRequest, body: &[u8]) -> HttpResponse {
    match route_call(context, request, body).await {
        Ok(answer) => build_response(answer),
        Err(refusal) => problem::response(&refusal, None),
    }
}

fn header_text(request: &HttpRequest, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}

fn build_request(
    context: &Context,
    request: &HttpRequest,
    service: &ServiceName,
    body: &[u8],
) -> Result<v1::CallRequest, Refusal> {
    let key = header_text(request, "idempotency-key");
    let method = request.method().as_str().to_owned();
    if key.is_empty() && !IDEMPOTENT_METHODS.contains(&method.as_str()) {
        return Err(never_sent(RefusalReason::BadRequest));
    }
    let mut path = format!("/{}", request.match_info().get("path").unwrap_or(""));
    if !request.query_string().is_empty() {
        path = format!("{path}?{}", request.query_string());
    }
    let headers = FORWARDED_HEADERS
        .into_iter()
        .filter_map(|name| {
            let value = request.headers().get(name)?;
            Some(v1::Header {
                name: name.to_owned(),
                value: value.as_bytes().to_vec(),
            })
        })
        .collect();
    Ok(v1::CallRequest {
        attempt: new_attempt().to_string(),
        organisation: context.organisation(request)?.to_string(),
        service: service.to_string(),
        fingerprint: Fingerprint::of(&method, &path, body).to_string(),
        method,
        path,
        headers,
        body: body.to_vec(),
        remaining_ms: context.deadline_ms,
        key,
        traceparent: header_text(request, "traceparent"),
        boot: 0,
        suspect: false,
    })
}

async fn route_call(
    context: &Context,
    request: &HttpRequest,
    body: &[u8],
) -> Result<v1::Answer, Refusal> {
    let service: ServiceName = request
        .match_info()
        .get("service")
        .unwrap_or("")
        .parse()
        .map_err(|_| never_sent(RefusalReason::NotFound))?;
    let message = build_request(context, request, &service, body)?;
    let idempotent = message.key.is_empty();
    let params = RouteParams {
        target: Target::Service(service),
        organisation: context.organisation(request)?,
        priority: Priority::Verdict,
        prompt: &[],
        remaining: Span::from_ms(message.remaining_ms),
        hedgeable: idempotent,
    };
    let mut route = RoutedRequest::begin(context, params).await?;
    if !idempotent {
        return keyed::run(context, route, message).await;
    }
    let mut calls = FuturesUnordered::new();
    loop {
        let completed = tokio::select! {
            Some(completed) = calls.next() => completed,
            assigned = route.next_endpoint() => {
                let endpoint = assigned?;
                if let Some(connection) = route.connect(context, &endpoint).await {
                    let remaining_ms = route.remaining(context).as_ms();
                    let message = v1::CallRequest { remaining_ms, ..message.clone() };
                    calls.push(call_agent(endpoint, connection, message));
                }
                continue;
            }
        };
        match completed {
            (endpoint, Ok(mut answer)) => {
                route.forward_load(answer.load.take()).await;
                route.finished(&endpoint, TokenCount::ZERO);
                return Ok(answer);
            }
            (endpoint, Err(Some(refusal))) if may_retry_elsewhere(&refusal) => {
                route.refused(&endpoint, None).await;
            }
            (_, Err(Some(refusal))) => return Err(refusal),
            (endpoint, Err(None)) => {
                route.failed(&endpoint, Outcome::Unknown, true).await;
            }
        }
    }
}

/// Sends one attempt to an agent.
///
/// An error without a refusal means that the call may have run.
async fn call_agent(
    endpoint: EndpointId,
    mut connection: AgentConnection,
    mut message: v1::CallRequest,
) -> (EndpointId, Result<v1::Answer, Option<Refusal>>) {
    let attempt = new_attempt().to_string();
    message.attempt.clone_from(&attempt);
    let reply = match connection.client.call(message).await {
        Ok(reply) => reply.into_inner(),
        Err(_) => return (endpoint, Err(None)),
    };
    if reply.attempt != attempt {
        return (endpoint, Err(None));
    }
    let result = match reply.result {
        Some(v1::call_reply::Result::Answer(answer)) => Ok(answer),
        Some(v1::call_reply::Result::Refused(refused)) => Err(Some(parse_refusal(&refused))),
        Some(v1::call_reply::Result::Elsewhere(_)) | None => Err(None),
    };
    (endpoint, result)
}

fn build_response(answer: v1::Answer) -> HttpResponse {
    let status = u16::try_from(answer.status)
        .ok()
        .filter(|status| is_final_status(*status))
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for header in answer.headers {
        builder.header(header.name.as_str(), header.value.as_slice());
    }
    if answer.replayed {
        builder.header("idempotent-replayed", "true");
    }
    builder.body(answer.body)
}
