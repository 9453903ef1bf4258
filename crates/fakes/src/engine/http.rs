//! The engine's HTTP API.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Instant;

use futures_util::Stream;
use futures_util::stream::unfold;
use ntex::util::Bytes;
use ntex::web::types::{Path, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::engine::Shared;
use crate::engine::orders::OrderResult;
use crate::engine::state::{EndReason, GenerateRequest, Output, Progress};
use crate::server::lock;

pub(crate) fn routes(config: &mut ServiceConfig) {
    config.service(web::resource("/v1/completions").route(web::post().to(complete)));
    config.service(web::resource("/v1/streams").route(web::get().to(list)));
    config.service(
        web::resource("/v1/streams/{request_id}")
            .route(web::get().to(resume))
            .route(web::delete().to(cancel)),
    );
    config.service(web::resource("/load").route(web::get().to(load)));
    config.service(web::resource("/cache-events").route(web::get().to(cache_events)));
    config.service(web::resource("/orders").route(web::post().to(order)));
}

#[derive(Deserialize)]
struct CompletionRequest {
    request_id: String,
    model: String,
    prompt: String,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    next_index: usize,
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Deserialize)]
struct OrderRequest {
    fence: u64,
    #[serde(flatten)]
    order: Value,
}

async fn complete(shared: State<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let traceparent = request.headers().get("traceparent");
    let traceparent = traceparent.and_then(|value| value.to_str().ok());
    let Ok(request) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let is_streaming = request.stream;
    let output = {
        let mut engine = lock(&shared.engine);
        if !engine.serves(&request.model) {
            return HttpResponse::NotFound().finish();
        }
        engine.remember_traceparent(traceparent);
        engine.generate(GenerateRequest {
            request_id: request.request_id.clone(),
            model: request.model,
            prompt: request.prompt,
            priority: request.priority,
            max_tokens: request.max_tokens,
        })
    };
    shared.wake();
    match output {
        None => HttpResponse::Conflict().finish(),
        Some(output) if is_streaming => event_stream_response(request.request_id, output, 0),
        Some(output) => full_response(&request.request_id, &output).await,
    }
}

async fn resume(
    shared: State<Shared>,
    request_id: Path<String>,
    query: Query<ResumeQuery>,
) -> HttpResponse {
    let output = lock(&shared.engine).stream(&request_id);
    match output {
        Some(output) => event_stream_response(request_id.into_inner(), output, query.next_index),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(shared: State<Shared>, request_id: Path<String>) -> HttpResponse {
    if lock(&shared.engine).cancel(&request_id) {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn list(shared: State<Shared>) -> HttpResponse {
    let streams = lock(&shared.engine).list();
    HttpResponse::Ok().json(&streams)
}

async fn load(shared: State<Shared>) -> HttpResponse {
    let load = lock(&shared.engine).load(Instant::now());
    HttpResponse::Ok().json(&load)
}

async fn cache_events(shared: State<Shared>, query: Query<EventsQuery>) -> HttpResponse {
    let events = lock(&shared.engine).cache_events(query.from);
    HttpResponse::Ok().json(&events)
}

async fn order(shared: State<Shared>, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<OrderRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut engine = lock(&shared.engine);
    let model = request.order.pointer("/load/model");
    let model = model.and_then(Value::as_str).map(str::to_owned);
    match engine.orders.apply(request.fence, request.order) {
        OrderResult::Accepted => {
            if let Some(model) = model {
                engine.load_model(&model);
            }
            HttpResponse::Ok().json(&json!({ "fence": request.fence }))
        }
        OrderResult::Stale { newest } => {
            HttpResponse::Conflict().json(&json!({ "newest": newest }))
        }
    }
}

async fn full_response(request_id: &str, output: &Output) -> HttpResponse {
    let mut progress = output.progress.clone();
    let end = match progress.wait_for(|progress| progress.end.is_some()).await {
        Ok(progress) => progress.end,
        Err(_) => None,
    };
    let Some(reason) = end.and_then(EndReason::finish_reason) else {
        return crate::log_service::truncated_response();
    };
    let texts = lock(&output.texts);
    HttpResponse::Ok().json(&json!({
        "id": request_id,
        "object": "text_completion",
        "model": output.model,
        "choices": [{ "index": 0, "text": texts.concat(), "finish_reason": reason }],
        "usage": usage(output, texts.len()),
    }))
}

fn usage(output: &Output, tokens: usize) -> Value {
    json!({ "prompt_tokens": output.prompt_tokens, "completion_tokens": tokens })
}

fn event_stream_response(
    request_id: String,
    output: Arc<Output>,
    next_index: usize,
) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(event_stream(request_id, output, next_index)))
}

/// Position of one reader in a stream.
struct EventReader {
    request_id: String,
    output: Arc<Output>,
    progress: watch::Receiver<Progress>,
    next_index: usize,
    done: bool,
}

fn event_stream(
    request_id: String,
    output: Arc<Output>,
    next_index: usize,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let reader = EventReader {
        request_id,
        progress: output.progress.clone(),
        output,
        next_index,
        done: false,
    };
    unfold(reader, |mut reader| async move {
        let item = reader.next().await?;
        Some((item, reader))
    })
}

impl EventReader {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.done {
            return None;
        }
        let from = self.next_index;
        let ready = self
            .progress
            .wait_for(|progress| progress.tokens > from || progress.end.is_some())
            .await;
        let Some(progress) = ready.ok().map(|progress| *progress) else {
            self.done = true;
            return Some(Err(connection_reset()));
        };
        self.done = progress.end.is_some();
        match progress.end.map(EndReason::finish_reason) {
            Some(None) => Some(Err(connection_reset())),
            Some(Some(reason)) => Some(Ok(self.chunk(Some(reason)))),
            None => Some(Ok(self.chunk(None))),
        }
    }

    fn chunk(&mut self, finish_reason: Option<&str>) -> Bytes {
        let mut chunk = String::new();
        let texts = lock(&self.output.texts);
        for text in texts.iter().skip(self.next_index) {
            self.write_event(&mut chunk, self.next_index, text);
            self.next_index += 1;
        }
        if let Some(reason) = finish_reason {
            let last = json!({
                "id": self.request_id,
                "object": "text_completion",
                "model": self.output.model,
                "choices": [{ "index": 0, "text": "", "finish_reason": reason }],
                "usage": usage(&self.output, texts.len()),
            });
            let _ = write!(chunk, "data: {last}\n\ndata: [DONE]\n\n");
        }
        Bytes::from(chunk)
    }

    fn write_event(&self, chunk: &mut String, index: usize, text: &str) {
        let data = json!({
            "id": self.request_id,
            "object": "text_completion",
            "model": self.output.model,
            "choices": [{ "index": 0, "text": text, "finish_reason": null }],
        });
        let _ = write!(chunk, "id: {index}\ndata: {data}\n\n");
    }
}

fn connection_reset() -> std::io::Error {
    std::io::Error::from(std::io::ErrorKind::ConnectionReset)
}

impl EndReason {
    /// The `finish_reason` on the wire; `None` if the engine crashed.
    const fn finish_reason(self) -> Option<&'static str> {
        match self {
            Self::Stop => Some("stop"),
            Self::Length => Some("length"),
            Self::Cancelled => Some("cancelled"),
            Self::Crashed => None,
        }
    }
}
