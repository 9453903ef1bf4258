//! Generations in the form that callers' clients use.

use std::time::Instant;

use futures_util::stream;
use lentil_core::{Fingerprint, Priority, Refusal, RefusalReason, Span, TokenCount};
use lentil_shell::{TraceSpan, trace_context};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answer::{Answer, Part};
use crate::attempt::{Wanted, open};
use crate::callers::Context;
use crate::counters::StreamMeter;
use crate::problem::{self, Problem, never_sent};

/// Tokens generated where the caller states no bound.
const TOKENS_MAX_DEFAULT: u32 = 32_768;

/// The two shapes of request and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Form {
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

/// A request that can't be served, with the reason in words.
type Rejected = (Refusal, String);

fn bad(detail: &dyn ToString) -> Rejected {
    (never_sent(RefusalReason::BadRequest), detail.to_string())
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn prompt(body: &mut Body, form: Form) -> Result<String, Rejected> {
    match form {
        Form::Text => body.prompt.take().ok_or_else(|| bad(&"prompt is missing")),
        Form::Chat if body.messages.is_empty() => Err(bad(&"messages is missing or empty")),
        Form::Chat => Ok(body
            .messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, message.content))
            .collect()),
    }
}

fn wanted(
    context: &Context,
    request: &HttpRequest,
    bytes: &[u8],
    form: Form,
) -> Result<(Wanted, bool), Rejected> {
    let organisation = context
        .organisation(request)
        .map_err(|refusal| (refusal, "no organisation has this key".to_owned()))?;
    let mut body: Body = serde_json::from_slice(bytes).map_err(|error| bad(&error))?;
    let priority = match header(request, "x-priority") {
        "" => Priority::default(),
        text => text.parse().map_err(|error| bad(&error))?,
    };
    if !context.keyring.serves(priority) {
        let detail = format!("the preset in force takes no {priority} requests");
        return Err((never_sent(RefusalReason::Overloaded), detail));
    }
    let tokens_max = body.max_tokens.unwrap_or(TOKENS_MAX_DEFAULT);
    let bound = context.keyring.tokens_max().map(TokenCount::get);
    let remaining = match header(request, "x-deadline-ms") {
        "" => Span::from_ms(context.deadline_ms),
        text => Span::from_ms(text.parse().map_err(|error| bad(&error))?),
    };
    let wanted = Wanted {
        organisation,
        prompt: prompt(&mut body, form)?,
        model: body.model.parse().map_err(|error| bad(&error))?,
        priority,
        tokens_max: bound.map_or(tokens_max, |bound| tokens_max.min(bound)),
        remaining,
        key: header(request, "idempotency-key").to_owned(),
        fingerprint: Fingerprint::of("POST", request.path(), bytes).to_string(),
        traceparent: header(request, "traceparent").to_owned(),
    };
    Ok((wanted, body.stream))
}

/// Serves a generation, streamed or whole.
pub(crate) async fn run(
    context: &Context,
    request: &HttpRequest,
    bytes: &[u8],
    form: Form,
) -> HttpResponse {
    let begun = Instant::now();
    let (mut wanted, streamed) = match wanted(context, request, bytes, form) {
        Ok(wanted) => wanted,
        Err((refusal, detail)) => return problem::response(&refusal, Some(detail)),
    };
    let hop = TraceSpan::start("caller", trace_context(&wanted.traceparent, context.sample));
    let queue = hop.child("entry queue");
    wanted.traceparent = queue.traceparent();
    let opened = match open(context, &wanted).await {
        Ok(opened) => opened,
        Err(refusal) => return problem::response(&refusal, None),
    };
    drop(queue);
    let meter = StreamMeter::begin(context.counters.clone(), begun);
    let answer = Answer::new(context.clone(), wanted.organisation, opened, 0).observed(meter, hop);
    let model = wanted.model.to_string();
    if streamed {
        respond_streamed(answer, form, model)
    } else {
        respond_whole(answer, form, &model).await
    }
}

/// A response that passes an answer on as server-sent events.
pub(crate) fn respond_streamed(answer: Answer, form: Form, model: String) -> HttpResponse {
    let events = stream::unfold(Some((answer, model)), move |state| async move {
        let (mut answer, model) = state?;
        let part = answer.next().await?;
        let last = !matches!(part, Part::Tokens(..));
        let bytes = render(&answer, &part, form, &model);
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

fn chunk(form: Form, id: &str, model: &str, text: &str, finish_reason: Option<&str>) -> String {
    let (object, text, delta) = match form {
        Form::Text => ("text_completion", Some(text), None),
        Form::Chat => ("chat.completion.chunk", None, Some(Delta { content: text })),
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

fn render(answer: &Answer, part: &Part, form: Form, model: &str) -> Bytes {
    let id = answer.generation().to_string();
    let text = match part {
        Part::Tokens(first, texts) => (*first..)
            .zip(texts)
            .map(|(index, text)| {
                let data = chunk(form, &id, model, text, None);
                format!("id: {id}:{index}\ndata: {data}\n\n")
            })
            .collect(),
        Part::Done(reason) => {
            let data = chunk(form, &id, model, "", Some(reason));
            format!("data: {data}\n\ndata: [DONE]\n\n")
        }
        Part::Failed(refusal) => {
            let problem = serde_json::to_string(&Problem::new(refusal, None)).unwrap_or_default();
            format!("event: error\ndata: {problem}\n\n")
        }
    };
    Bytes::from(text)
}

async fn respond_whole(mut answer: Answer, form: Form, model: &str) -> HttpResponse {
    let mut text = String::new();
    let mut tokens = 0;
    let reason = loop {
        match answer.next().await {
            Some(Part::Tokens(_, texts)) => {
                tokens += texts.len();
                text.extend(texts);
            }
            Some(Part::Done(reason)) => break reason,
            Some(Part::Failed(refusal)) => return problem::response(&refusal, None),
            None => break "stop".to_owned(),
        }
    };
    let choice = match form {
        Form::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        Form::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": reason,
        }),
    };
    let object = match form {
        Form::Text => "text_completion",
        Form::Chat => "chat.completion",
    };
    HttpResponse::Ok().json(&json!({
        "id": answer.generation().to_string(),
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }))
}
