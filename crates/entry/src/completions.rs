//! The completions and chat completions APIs.

use std::time::Instant;

use futures_util::stream;
use lentil_core::{Fingerprint, Priority, Refusal, RefusalReason, Span, TokenCount};
use lentil_shell::{TraceSpan, trace_context};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answer_stream::{AnswerStream, StreamPart};
use crate::attempt::{GenerationRequest, open_generation};
use crate::callers::Context;
use crate::counters::StreamMeter;
use crate::problem::{self, Problem, never_sent};

/// Output limit, in tokens, for requests without `max_tokens`.
const DEFAULT_TOKENS_MAX: u32 = 32_768;

/// The API that a request uses, which determines the request and response format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ApiKind {
    /// `/v1/completions`
    Text,
    /// `/v1/chat/completions`
    Chat,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// A refusal with a detail message.
type RequestError = (Refusal, String);

fn bad_request(detail: &dyn ToString) -> RequestError {
    (never_sent(RefusalReason::BadRequest), detail.to_string())
}

fn header_text<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn take_prompt(body: &mut Body, api_kind: ApiKind) -> Result<String, RequestError> {
    match api_kind {
        ApiKind::Text => body
            .prompt
            .take()
            .ok_or_else(|| bad_request(&"prompt is missing")),
        ApiKind::Chat if body.messages.is_empty() => {
            Err(bad_request(&"messages is missing or empty"))
        }
        ApiKind::Chat => Ok(body
            .messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content))
            .collect()),
    }
}

fn parse_request(
    context: &Context,
    request: &HttpRequest,
    bytes: &[u8],
    api_kind: ApiKind,
) -> Result<(GenerationRequest, bool), RequestError> {
    let organisation = context
        .organisation(request)
        .map_err(|refusal| (refusal, "no organisation has this key".to_owned()))?;
    let mut body: Body = serde_json::from_slice(bytes).map_err(|error| bad_request(&error))?;
    let priority = match header_text(request, "x-priority") {
        "" => Priority::default(),
        text => text.parse().map_err(|error| bad_request(&error))?,
    };
    if !context.caller_policy.serves(priority) {
        let detail = format!("the preset in force takes no {priority} requests");
        return Err((never_sent(RefusalReason::Overloaded), detail));
    }
    let tokens_max = body.max_tokens.unwrap_or(DEFAULT_TOKENS_MAX);
    let preset_max = context.caller_policy.tokens_max().map(TokenCount::get);
    let remaining = match header_text(request, "x-deadline-ms") {
        "" => Span::from_ms(context.deadline_ms),
        text => Span::from_ms(text.parse().map_err(|error| bad_request(&error))?),
    };
    let generation = GenerationRequest {
        organisation,
        prompt: take_prompt(&mut body, api_kind)?,
        model: body.model.parse().map_err(|error| bad_request(&error))?,
        priority,
        tokens_max: preset_max.map_or(tokens_max, |preset_max| tokens_max.min(preset_max)),
        remaining,
        key: header_text(request, "idempotency-key").to_owned(),
        fingerprint: Fingerprint::of("POST", request.path(), bytes).to_string(),
        traceparent: header_text(request, "traceparent").to_owned(),
    };
    Ok((generation, body.stream))
}

/// Handles a generation request, with a streamed or a complete response.
pub(crate) async fn complete(
    context: &Context,
    request: &HttpRequest,
    bytes: &[u8],
    api_kind: ApiKind,
) -> HttpResponse {
    let started_at = Instant::now();
    let (mut generation, streamed) = match parse_request(context, request, bytes, api_kind) {
        Ok(generation) => generation,
        Err((refusal, detail)) => return problem::response(&refusal, Some(detail)),
    };
    let hop = TraceSpan::start(
        "caller",
        trace_context(&generation.traceparent, context.trace_sampling),
    );
    let queue = hop.child("entry queue");
    generation.traceparent = queue.traceparent();
    let opened = match open_generation(context, &generation).await {
        Ok(opened) => opened,
        Err(refusal) => return problem::response(&refusal, None),
    };
    drop(queue);
    let meter = StreamMeter::begin(context.counters.clone(), started_at);
    let answer = AnswerStream::new(context.clone(), generation.organisation, opened, 0)
        .with_telemetry(meter, hop);
    let model = generation.model.to_string();
    if streamed {
        streamed_response(answer, api_kind, model)
    } else {
        whole_response(answer, api_kind, &model).await
    }
}

/// Builds a response that forwards a generation as server-sent events.
pub(crate) fn streamed_response(
    answer: AnswerStream,
    api_kind: ApiKind,
    model: String,
) -> HttpResponse {
    let events = stream::unfold(Some((answer, model)), move |state| async move {
        let (mut answer, model) = state?;
        let part = answer.next().await?;
        let last = !matches!(part, StreamPart::Tokens(..));
        let bytes = render(&answer, &part, api_kind, &model);
        let state = if last { None } else { Some((answer, model)) };
        Some((Ok::<_, std::io::Error>(bytes), state))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(events))
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

fn chunk(
    api_kind: ApiKind,
    id: &str,
    model: &str,
    text: &str,
    finish_reason: Option<&str>,
) -> String {
    let (object, text, delta) = match api_kind {
        ApiKind::Text => ("text_completion", Some(text), None),
        ApiKind::Chat => ("chat.completion.chunk", None, Some(Delta { content: text })),
    };
    let chunk = Chunk {
        id,
        object,
        model,
        choices: [Choice {
            index: 0,
            text,
            delta,
            finish_reason,
        }],
    };
    serde_json::to_string(&chunk).unwrap_or_default()
}

fn render(answer: &AnswerStream, part: &StreamPart, api_kind: ApiKind, model: &str) -> Bytes {
    let id = answer.generation().to_string();
    let text = match part {
        StreamPart::Tokens(first, texts) => (*first..)
            .zip(texts)
            .map(|(index, text)| {
                let data = chunk(api_kind, &id, model, text, None);
                format!("id: {id}:{index}\ndata: {data}\n\n")
            })
            .collect(),
        StreamPart::Done(reason) => {
            let data = chunk(api_kind, &id, model, "", Some(reason));
            format!("data: {data}\n\ndata: [DONE]\n\n")
        }
        StreamPart::Failed(refusal) => {
            let problem = serde_json::to_string(&Problem::new(refusal, None)).unwrap_or_default();
            format!("event: error\ndata: {problem}\n\n")
        }
    };
    Bytes::from(text)
}

async fn whole_response(mut answer: AnswerStream, api_kind: ApiKind, model: &str) -> HttpResponse {
    let mut text = String::new();
    let mut tokens = 0;
    let reason = loop {
        match answer.next().await {
            Some(StreamPart::Tokens(_, texts)) => {
                tokens += texts.len();
                text.extend(texts);
            }
            Some(StreamPart::Done(reason)) => break reason,
            Some(StreamPart::Failed(refusal)) => return problem::response(&refusal, None),
            None => break "stop".to_owned(),
        }
    };
    let choice = match api_kind {
        ApiKind::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        ApiKind::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": reason,
        }),
    };
    let object = match api_kind {
        ApiKind::Text => "text_completion",
        ApiKind::Chat => "chat.completion",
    };
    HttpResponse::Ok().json(&json!({
        "id": answer.generation().to_string(),
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }))
}
