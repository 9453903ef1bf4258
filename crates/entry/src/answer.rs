//! An accepted generation as the caller reads it.

use lentil_core::{GenerationId, OrganisationId, Refusal, RefusalReason, TokenCount};
use lentil_shell::TraceSpan;
use lentil_wire::v1;
use lentil_wire::v1::run_event::Event;

use crate::attempt::{Opened, read_refused};
use crate::callers::Context;
use crate::counters::StreamMeter;
use crate::cursor::Cursor;

/// Most times that a broken link is taken up again without a token between.
const RESUMES_MAX: u32 = 3;

/// What the caller gets next.
#[derive(Debug)]
pub(crate) enum Part {
    /// Consecutive tokens, the first with this index.
    Tokens(u64, Vec<String>),
    /// The end, and why.
    Done(String),
    /// The generation broke off.
    Failed(Refusal),
}

/// Reads a generation through broken links, each token once.
#[derive(Debug)]
pub(crate) struct Answer {
    context: Context,
    organisation: OrganisationId,
    opened: Opened,
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

impl Answer {
    pub(crate) fn new(
        context: Context,
        organisation: OrganisationId,
        opened: Opened,
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

    /// Counts and traces this answer until its end.
    pub(crate) fn observed(mut self, meter: StreamMeter, hop: TraceSpan) -> Self {
        self.meter = Some(meter);
        self.hop = Some(hop);
        self
    }

    pub(crate) fn generation(&self) -> &GenerationId {
        &self.opened.generation
    }

    /// The next part; `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<Part> {
        while !self.ended {
            let message = self.opened.events.message().await;
            let Ok(Some(event)) = message else {
                if !self.resume().await {
                    return Some(self.end(Part::Failed(broken())));
                }
                continue;
            };
            if let Some(part) = self.read(event) {
                return Some(part);
            }
        }
        None
    }

    fn end(&mut self, part: Part) -> Part {
        self.ended = true;
        if let Some(permit) = self.opened.permit.take()
            && matches!(part, Part::Done(_))
        {
            let tokens = u32::try_from(self.cursor.next()).unwrap_or(u32::MAX);
            permit.finished(TokenCount::new(tokens));
        }
        self.meter = None;
        self.hop = None;
        part
    }

    fn read(&mut self, event: v1::RunEvent) -> Option<Part> {
        match event.event? {
            Event::Accepted(_) => None,
            Event::Tokens(tokens) => match self.cursor.take(tokens.first_index, tokens.texts) {
                Ok((_, texts)) if texts.is_empty() => None,
                Ok((first, texts)) => {
                    self.resumes = 0;
                    if first == 0
                        && let Some(permit) = &self.opened.permit
                    {
                        permit.answering();
                    }
                    if let Some(meter) = &mut self.meter {
                        meter.tokens(texts.len());
                    }
                    Some(Part::Tokens(first, texts))
                }
                Err(gap) => {
                    log::error!("a generation broke its order: {gap}");
                    Some(self.end(Part::Failed(broken())))
                }
            },
            Event::Done(done) => Some(self.end(Part::Done(done.finish_reason))),
            Event::Refused(refused) => Some(self.end(Part::Failed(read_refused(&refused)))),
        }
    }

    async fn resume(&mut self) -> bool {
        while self.resumes < RESUMES_MAX {
            self.resumes += 1;
            let endpoint = self.opened.generation.endpoint.clone();
            let Some(mut picked) = self.context.find(endpoint).await else {
                return false;
            };
            let request = v1::ResumeRequest {
                generation: self.opened.generation.to_string(),
                next_index: self.cursor.next(),
                organisation: self.organisation.to_string(),
            };
            if let Ok(events) = picked.client.resume(request).await {
                self.opened.events = events.into_inner();
                self.context.counters.resumes.inc();
                return true;
            }
        }
        false
    }
}

fn broken() -> Refusal {
    Refusal::unknown(RefusalReason::EndpointFailed)
}
