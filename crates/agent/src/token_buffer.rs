//! Buffer of one generation's tokens, from which its readers are served.

use std::cell::{Cell, RefCell};

use lentil_core::{AttemptId, OrganisationId, Refusal};
use lentil_shell::StagedSpan;
use lentil_wire::v1;
use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;

use crate::request::{EventSender, refusal_to_wire};

/// How a generation ended.
#[derive(Debug, Clone)]
pub(crate) enum GenerationEnd {
    Finished { reason: String },
    Failed(Refusal),
}

/// Tokens of a generation by index; each reader has its own position.
#[derive(Debug)]
pub(crate) struct TokenBuffer {
    organisation: OrganisationId,
    texts: RefCell<Vec<String>>,
    end: RefCell<Option<GenerationEnd>>,
    accepted: Cell<bool>,
    readers: Cell<usize>,
    changed: Notify,
    stages: RefCell<Option<StagedSpan>>,
    tokens: Counter,
}

impl TokenBuffer {
    pub(crate) fn new(
        organisation: OrganisationId,
        stages: Option<StagedSpan>,
        tokens: Counter,
    ) -> Self {
        Self {
            organisation,
            texts: RefCell::default(),
            end: RefCell::default(),
            accepted: Cell::new(false),
            readers: Cell::new(0),
            changed: Notify::new(),
            stages: RefCell::new(stages),
            tokens,
        }
    }

    /// Starts the next stage of the generation's trace.
    pub(crate) fn start_stage(&self, name: &'static str) {
        if let Some(stages) = self.stages.borrow_mut().as_mut() {
            stages.next_stage(name);
        }
    }

    pub(crate) fn organisation(&self) -> &OrganisationId {
        &self.organisation
    }

    pub(crate) fn mark_accepted(&self) {
        self.accepted.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until the engine accepts the request; returns false if the
    /// generation ends before that.
    pub(crate) async fn wait_accepted(&self) -> bool {
        while !self.accepted.get() && !self.is_closed() {
            self.changed.notified().await;
        }
        self.accepted.get()
    }

    pub(crate) fn push_token(&self, text: String) {
        if self.texts.borrow().is_empty() {
            self.start_stage("last token");
        }
        self.tokens.inc();
        self.texts.borrow_mut().push(text);
        self.changed.notify_waiters();
    }

    pub(crate) fn close(&self, end: GenerationEnd) {
        self.end.borrow_mut().get_or_insert(end);
        self.stages.take();
        self.changed.notify_waiters();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.end.borrow().is_some()
    }

    pub(crate) fn reader_count(&self) -> usize {
        self.readers.get()
    }

    fn tokens_from(&self, next: usize) -> Vec<String> {
        let texts = self.texts.borrow();
        texts.get(next..).unwrap_or_default().to_vec()
    }

    /// Sends the tokens from index `next` on to `sink`, until the generation ends
    /// or the reader disconnects.
    pub(crate) async fn stream_to(&self, attempt: &str, mut next: usize, sink: &EventSender) {
        self.readers.set(self.readers.get() + 1);
        while let Some(event) = self.next_event(&mut next).await {
            let last = !matches!(event, v1::run_event::Event::Tokens(_));
            let event = v1::RunEvent {
                attempt: attempt.to_owned(),
                event: Some(event),
            };
            if sink.send(event).await.is_err() || last {
                break;
            }
        }
        self.readers.set(self.readers.get() - 1);
    }

    async fn next_event(&self, next: &mut usize) -> Option<v1::run_event::Event> {
        loop {
            let texts = self.tokens_from(*next);
            if !texts.is_empty() {
                let first_index = u64::try_from(*next).ok()?;
                *next += texts.len();
                return Some(v1::run_event::Event::Tokens(v1::Tokens {
                    first_index,
                    texts,
                }));
            }
            if let Some(end) = self.end.borrow().clone() {
                return Some(self.last_event(end));
            }
            self.changed.notified().await;
        }
    }

    fn last_event(&self, end: GenerationEnd) -> v1::run_event::Event {
        match end {
            GenerationEnd::Finished { reason } => v1::run_event::Event::Done(v1::Done {
                finish_reason: reason,
                tokens: u64::try_from(self.texts.borrow().len()).unwrap_or(u64::MAX),
                load: None,
            }),
            GenerationEnd::Failed(refusal) => {
                v1::run_event::Event::Refused(refusal_to_wire(refusal))
            }
        }
    }
}

/// Creates the event that carries the generation's identifier to the caller.
pub(crate) fn accepted_event(
    attempt: AttemptId,
    generation: String,
    load: Option<v1::LoadReport>,
) -> v1::RunEvent {
    v1::RunEvent {
        attempt: attempt.to_string(),
        event: Some(v1::run_event::Event::Accepted(v1::Accepted {
            generation,
            load,
        })),
    }
}
