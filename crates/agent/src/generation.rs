//! Running a generation at the engine and serving its readers.

use std::cell::Cell;
use std::rc::Rc;

use lentil_core::{AttemptId, GenerationId, Refusal, RefusalReason, TokenCount, TokenIndex};
use lentil_wire::v1;

use crate::admission::Command;
use crate::endpoint::Endpoint;
use crate::engine::{EngineError, TokenSink};
use crate::journal::{End, Journal, accepted};
use crate::work::{GenerationRequest, Reading, Sink, not_handed_on, refused_event};

/// Tokens from one report to the admission thread to the next: half a usual
/// cache block.
const PROGRESS_TOKENS: u32 = 8;

/// Keeps an engine's tokens and tells the admission thread their number.
struct Counted<'a> {
    endpoint: &'a Endpoint,
    journal: &'a Journal,
    attempt: AttemptId,
    generated: Cell<u32>,
}

impl TokenSink for Counted<'_> {
    fn opened(&self) {
        self.journal.stage("first token");
        self.journal.open();
    }

    fn token(&self, text: String) {
        self.journal.push(text);
        self.generated.set(self.generated.get().saturating_add(1));
        let generated = self.generated.get();
        if generated % PROGRESS_TOKENS == 1 {
            // A number that finds no place is made good by the next.
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
    sink: Sink,
) {
    let mut stages = request.stages.take();
    if let Some(stages) = &mut stages {
        stages.next_stage("endpoint");
        request.traceparent = stages.traceparent();
    }
    let journal = Journal::new(
        request.organisation.clone(),
        stages,
        endpoint.counters.tokens.clone(),
    );
    let journal = Rc::new(journal);
    endpoint.keep(generation.clone(), Rc::clone(&journal));
    let attempt = request.attempt;
    ntex::rt::spawn(serve(
        Rc::clone(endpoint),
        generation.clone(),
        Rc::clone(&journal),
        TokenIndex::default(),
        attempt.to_string(),
        Some(accepted(attempt, generation.to_string(), endpoint.load())),
        sink,
    ));
    ntex::rt::spawn(generate(Rc::clone(endpoint), generation, request, journal));
}

async fn generate(
    endpoint: Rc<Endpoint>,
    generation: GenerationId,
    request: GenerationRequest,
    journal: Rc<Journal>,
) {
    let sink = Counted {
        endpoint: &endpoint,
        journal: &journal,
        attempt: request.attempt,
        generated: Cell::new(0),
    };
    let result = endpoint.engine.generate(&generation, &request, &sink).await;
    let well = result.is_ok() && !journal.is_closed();
    endpoint.counters.generation_ended(match &result {
        Ok(_) => "finished",
        Err(EngineError::Connect(_)) => "not_sent",
        Err(_) => "broken",
    });
    journal.close(match result {
        Ok(reason) => End::Finished { reason },
        Err(EngineError::Connect(_)) => End::Failed(not_handed_on(
            request.attempt,
            RefusalReason::EndpointFailed,
        )),
        Err(error) => {
            log::warn!(generation:% = generation; "a generation failed: {error}");
            End::Failed(Refusal::unknown(RefusalReason::EndpointFailed))
        }
    });
    let finished = Command::Finished {
        attempt: request.attempt,
        well,
    };
    let _ = endpoint.commands.send(finished).await;
    endpoint.hold().await;
    endpoint.forget(&generation);
}

/// Serves one more reader of a held generation.
pub(crate) fn read(endpoint: &Rc<Endpoint>, reading: Reading) {
    let found = endpoint
        .journal(&reading.generation)
        .filter(|journal| *journal.organisation() == reading.organisation);
    let Some(journal) = found else {
        let refusal = Refusal::unknown(RefusalReason::NotFound);
        let attempt = AttemptId::new(0);
        let _ = reading.sink.try_send(refused_event(attempt, refusal));
        return;
    };
    ntex::rt::spawn(serve(
        Rc::clone(endpoint),
        reading.generation,
        journal,
        reading.next_index,
        String::new(),
        None,
        reading.sink,
    ));
}

async fn serve(
    endpoint: Rc<Endpoint>,
    generation: GenerationId,
    journal: Rc<Journal>,
    next: TokenIndex,
    attempt: String,
    first: Option<v1::RunEvent>,
    sink: Sink,
) {
    if let Some(event) = first
        && journal.opened().await
    {
        let _ = sink.send(event).await;
    }
    let next = usize::try_from(next.get()).unwrap_or(usize::MAX);
    journal.pump(&attempt, next, &sink).await;
    if journal.is_closed() || journal.readers() > 0 {
        return;
    }
    endpoint.hold().await;
    if !journal.is_closed() && journal.readers() == 0 {
        cancel(&endpoint, &generation, &journal).await;
    }
}

/// Ends a generation that nobody reads.
pub(crate) async fn cancel(endpoint: &Endpoint, generation: &GenerationId, journal: &Journal) {
    journal.close(End::Finished {
        reason: "cancelled".to_owned(),
    });
    if let Err(error) = endpoint.engine.cancel(generation).await {
        log::warn!(generation:% = generation; "cancelling at the engine failed: {error}");
    }
}
