//! Runs generations at the engine and serves their readers.

use std::cell::Cell;
use std::rc::Rc;

use lentil_core::{AttemptId, GenerationId, Refusal, RefusalReason, TokenCount, TokenIndex};
use lentil_wire::v1;

use crate::admission::Command;
use crate::endpoint::Endpoint;
use crate::engine::{EngineError, TokenSink};
use crate::request::{EventSender, GenerationRequest, ReadRequest, not_dispatched, refusal_event};
use crate::token_buffer::{GenerationEnd, TokenBuffer, accepted_event};

/// Tokens between two progress reports to the admission thread: half the usual
/// KV cache block.
const PROGRESS_TOKENS: u32 = 8;

/// Buffers an engine's tokens and reports their number to the admission thread.
struct CountingSink<'a> {
    endpoint: &'a Endpoint,
    buffer: &'a TokenBuffer,
    attempt: AttemptId,
    generated: Cell<u32>,
}

impl TokenSink for CountingSink<'_> {
    fn on_accepted(&self) {
        self.buffer.start_stage("first token");
        self.buffer.mark_accepted();
    }

    fn on_token(&self, text: String) {
        self.buffer.push_token(text);
        self.generated.set(self.generated.get().saturating_add(1));
        let generated = self.generated.get();
        if generated % PROGRESS_TOKENS == 1 {
            // A report that is dropped because the channel is full is made up
            // for by the next one, which carries the total.
            let _ = self.endpoint.commands.try_send(Command::Progress {
                attempt: self.attempt,
                generated: TokenCount::new(generated),
            });
        }
    }
}

/// Starts a generation and its first reader.
pub(crate) fn start(
    endpoint: &Rc<Endpoint>,
    generation: GenerationId,
    mut request: GenerationRequest,
    sink: EventSender,
) {
    let mut stages = request.stages.take();
    if let Some(stages) = &mut stages {
        stages.next_stage("endpoint");
        request.traceparent = stages.traceparent();
    }
    let buffer = TokenBuffer::new(
        request.organisation.clone(),
        stages,
        endpoint.counters.tokens.clone(),
    );
    let buffer = Rc::new(buffer);
    endpoint.insert_buffer(generation.clone(), Rc::clone(&buffer));
    let attempt = request.attempt;
    ntex::rt::spawn(serve(
        Rc::clone(endpoint),
        generation.clone(),
        Rc::clone(&buffer),
        TokenIndex::default(),
        attempt.to_string(),
        Some(accepted_event(
            attempt,
            generation.to_string(),
            endpoint.load(),
        )),
        sink,
    ));
    ntex::rt::spawn(generate(Rc::clone(endpoint), generation, request, buffer));
}

/// Runs a generation at the engine, then holds its tokens for late readers.
async fn generate(
    endpoint: Rc<Endpoint>,
    generation: GenerationId,
    request: GenerationRequest,
    buffer: Rc<TokenBuffer>,
) {
    let sink = CountingSink {
        endpoint: &endpoint,
        buffer: &buffer,
        attempt: request.attempt,
        generated: Cell::new(0),
    };
    let result = endpoint.engine.generate(&generation, &request, &sink).await;
    let succeeded = result.is_ok() && !buffer.is_closed();
    endpoint.counters.generation_ended(match &result {
        Ok(_) => "finished",
        Err(EngineError::Connect(_)) => "not_sent",
        Err(_) => "broken",
    });
    buffer.close(match result {
        Ok(reason) => GenerationEnd::Finished { reason },
        Err(EngineError::Connect(_)) => GenerationEnd::Failed(not_dispatched(
            request.attempt,
            RefusalReason::EndpointFailed,
        )),
        Err(error) => {
            log::warn!(generation:% = generation; "generation failed: {error}");
            GenerationEnd::Failed(Refusal::unknown(RefusalReason::EndpointFailed))
        }
    });
    let finished = Command::Finished {
        attempt: request.attempt,
        succeeded,
    };
    let _ = endpoint.commands.send(finished).await;
    endpoint.wait_hold().await;
    endpoint.remove_buffer(&generation);
}

/// Starts another reader of a held generation.
pub(crate) fn start_reader(endpoint: &Rc<Endpoint>, read_request: ReadRequest) {
    let found = endpoint
        .buffer(&read_request.generation)
        .filter(|buffer| *buffer.organisation() == read_request.organisation);
    let Some(buffer) = found else {
        let refusal = Refusal::unknown(RefusalReason::NotFound);
        let attempt = AttemptId::new(0);
        let _ = read_request.sink.try_send(refusal_event(attempt, refusal));
        return;
    };
    ntex::rt::spawn(serve(
        Rc::clone(endpoint),
        read_request.generation,
        buffer,
        read_request.next_index,
        String::new(),
        None,
        read_request.sink,
    ));
}

/// Streams a generation to one reader. If that was the last reader and nobody
/// returns within the hold time, the generation is cancelled.
async fn serve(
    endpoint: Rc<Endpoint>,
    generation: GenerationId,
    buffer: Rc<TokenBuffer>,
    next: TokenIndex,
    attempt: String,
    first_event: Option<v1::RunEvent>,
    sink: EventSender,
) {
    if let Some(event) = first_event
        && buffer.wait_accepted().await
    {
        let _ = sink.send(event).await;
    }
    let next = usize::try_from(next.get()).unwrap_or(usize::MAX);
    buffer.stream_to(&attempt, next, &sink).await;
    if buffer.is_closed() || buffer.reader_count() > 0 {
        return;
    }
    endpoint.wait_hold().await;
    if !buffer.is_closed() && buffer.reader_count() == 0 {
        cancel(&endpoint, &generation, &buffer).await;
    }
}

/// Ends a generation as cancelled, both in its buffer and at the engine.
pub(crate) async fn cancel(endpoint: &Endpoint, generation: &GenerationId, buffer: &TokenBuffer) {
    buffer.close(GenerationEnd::Finished {
        reason: "cancelled".to_owned(),
    });
    if let Err(error) = endpoint.engine.cancel(generation).await {
        log::warn!(generation:% = generation; "the engine did not cancel the generation: {error}");
    }
}
