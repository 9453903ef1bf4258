//! The token stream of an accepted generation.

use lentil_core::{GenerationId, OrganisationId, Refusal, RefusalReason, TokenCount};
use lentil_shell::TraceSpan;
use lentil_wire::v1;
use lentil_wire::v1::run_event::Event;

use crate::attempt::{OpenGeneration, parse_refusal};
use crate::callers::Context;
use crate::counters::StreamMeter;
use crate::cursor::Cursor;

/// Maximum number of consecutive resumptions without a new token.
const RESUMES_MAX: u32 = 3;

/// The next part of a generation.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// Consecutive tokens, starting at this index.
    Tokens(u64, Vec<String>),
    /// The end of the generation, with the finish reason.
    Done(String),
    /// The generation failed.
    Failed(Refusal),
}

/// Reads a generation, resuming it when the stream from the agent breaks.
///
/// Each token is returned exactly once.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    context: Context,
    organisation: OrganisationId,
    opened: OpenGeneration,
    cursor: Cursor,
    resumes: u32,
    ended: bool,
    meter: Option<StreamMeter>,
    hop: Option<TraceSpan>,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

impl AnswerStream {
    pub(crate) fn new(
        context: Context,
        organisation: OrganisationId,
        opened: OpenGeneration,
        next_index: u64,
    ) -> Self {
        Self {
            context,
            organisation,
            opened,
            cursor: Cursor::at(next_index),
            resumes: 0,
            ended: false,
            meter: None,
            hop: None,
        }
    }

    /// Records metrics and a trace span until the end of the stream.
    pub(crate) fn with_telemetry(mut self, meter: StreamMeter, hop: TraceSpan) -> Self {
        self.meter = Some(meter);
        self.hop = Some(hop);
        self
    }

    pub(crate) fn generation(&self) -> &GenerationId {
        &self.opened.generation
    }

    /// Returns the next part, or `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<StreamPart> {
        while !self.ended {
            let message = self.opened.events.message().await;
            let Ok(Some(event)) = message else {
                if !self.resume().await {
                    return Some(self.finish(StreamPart::Failed(endpoint_failed())));
                }
                continue;
            };
            if let Some(part) = self.process_event(event) {
                return Some(part);
            }
        }
        None
    }

    fn finish(&mut self, part: StreamPart) -> StreamPart {
        self.ended = true;
        if let Some(routed_attempt) = self.opened.routed_attempt.take()
            && matches!(part, StreamPart::Done(_))
        {
            let tokens = u32::try_from(self.cursor.next()).unwrap_or(u32::MAX);
            routed_attempt.finished(TokenCount::new(tokens));
        }
        self.meter = None;
        self.hop = None;
        part
    }

    fn process_event(&mut self, event: v1::RunEvent) -> Option<StreamPart> {
        match event.event? {
            Event::Accepted(_) => None,
            Event::Tokens(tokens) => match self.cursor.accept(tokens.first_index, tokens.texts) {
                Ok((_, texts)) if texts.is_empty() => None,
                Ok((first, texts)) => {
                    self.resumes = 0;
                    if first == 0
                        && let Some(routed_attempt) = &self.opened.routed_attempt
                    {
                        routed_attempt.response_started();
                    }
                    if let Some(meter) = &mut self.meter {
                        meter.tokens(texts.len());
                    }
                    Some(StreamPart::Tokens(first, texts))
                }
                Err(gap) => {
                    log::error!("agent sent tokens out of order: {gap}");
                    Some(self.finish(StreamPart::Failed(endpoint_failed())))
                }
            },
            Event::Done(done) => Some(self.finish(StreamPart::Done(done.finish_reason))),
            Event::Refused(refused) => {
                Some(self.finish(StreamPart::Failed(parse_refusal(&refused))))
            }
        }
    }

    async fn resume(&mut self) -> bool {
        while self.resumes < RESUMES_MAX {
            self.resumes += 1;
            let endpoint = self.opened.generation.endpoint.clone();
            let Some(mut connection) = self.context.find_agent(endpoint).await else {
                return false;
            };
            let request = v1::ResumeRequest {
                generation: self.opened.generation.to_string(),
                next_index: self.cursor.next(),
                organisation: self.organisation.to_string(),
            };
            if let Ok(events) = connection.client.resume(request).await {
                self.opened.events = events.into_inner();
                self.context.counters.resumes.inc();
                return true;
            }
        }
        false
    }
}

fn endpoint_failed() -> Refusal {
    Refusal::unknown(RefusalReason::EndpointFailed)
}
