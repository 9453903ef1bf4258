//! Position of a caller in a token stream, and the entry's decisions on resuming it.

use std::collections::VecDeque;
use std::sync::Arc;

use lentil_core::{AttemptId, GenerationId, Outcome, TokenIndex};

use crate::journal::GenerationEnd;

/// An event from an agent, received under the attempt that it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The agent accepted the request.
    Accepted(GenerationId),
    /// Consecutive tokens.
    Tokens {
        /// Index of the first token.
        first: TokenIndex,
        /// Texts of the tokens.
        texts: Vec<Arc<str>>,
    },
    /// The generation has ended.
    Ended {
        /// Total number of tokens.
        total: TokenIndex,
        /// How the generation ended.
        end: GenerationEnd,
    },
    /// The agent does not hold the generation from the requested index on.
    Gone,
    /// The connection broke.
    LinkBroken,
}

/// The next action of the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CursorStep {
    /// Write the tokens that [`Cursor::take`] returns; no other action is needed.
    Continue,
    /// Read the generation again from this index, under a new attempt.
    Resume(GenerationId, TokenIndex),
    /// No token reached the caller: the request may run again at another endpoint.
    Restart,
    /// Report the end to the caller, after all tokens that [`Cursor::take`] returns.
    Finish(GenerationEnd),
    /// Ignore the event: it belongs to another attempt or generation.
    Ignore,
}

/// A token to write to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutputToken {
    /// Index of the token.
    pub index: TokenIndex,
    /// Text of the token.
    pub text: Arc<str>,
}

/// Read position of one caller.
///
/// Tokens are delivered in index order, each exactly once, and all from the generation that was
/// accepted first. At most `buffer_max` tokens are buffered for a slow caller;
/// [`Cursor::free_capacity`] tells how many more may be read from the agent.
#[derive(Debug)]
pub struct Cursor {
    current_attempt: Option<AttemptId>,
    generation: Option<GenerationId>,
    next: TokenIndex,
    buffer: VecDeque<OutputToken>,
    buffer_max: usize,
    end: Option<GenerationEnd>,
}

impl Cursor {
    /// Creates a cursor for a new request.
    #[must_use]
    pub const fn new(buffer_max: usize) -> Self {
        Self {
            current_attempt: None,
            generation: None,
            next: TokenIndex::new(0),
            buffer: VecDeque::new(),
            buffer_max,
            end: None,
        }
    }

    /// Creates a cursor that resumes a held generation at index `next`.
    #[must_use]
    pub fn resuming(generation: GenerationId, next: TokenIndex, buffer_max: usize) -> Self {
        Self {
            generation: Some(generation),
            next,
            ..Self::new(buffer_max)
        }
    }

    /// Sets the current attempt; events of all other attempts are ignored.
    pub const fn set_attempt(&mut self, attempt: AttemptId) {
        self.current_attempt = Some(attempt);
    }

    /// Index of the next token to receive.
    #[must_use]
    pub const fn next(&self) -> TokenIndex {
        self.next
    }

    /// The generation, if it is known.
    #[must_use]
    pub const fn generation(&self) -> Option<&GenerationId> {
        self.generation.as_ref()
    }

    /// Number of further tokens that fit in the buffer.
    #[must_use]
    pub fn free_capacity(&self) -> usize {
        self.buffer_max.saturating_sub(self.buffer.len())
    }

    /// Removes and returns the next token to write to the caller.
    pub fn take(&mut self) -> Option<OutputToken> {
        self.buffer.pop_front()
    }

    /// Whether the end was reached and all tokens were taken.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.end.is_some() && self.buffer.is_empty()
    }

    /// Processes an event received under `attempt`.
    pub fn handle(&mut self, attempt: AttemptId, event: StreamEvent) -> CursorStep {
        if self.current_attempt != Some(attempt) || self.end.is_some() {
            return CursorStep::Ignore;
        }
        match event {
            StreamEvent::Accepted(generation) => self.on_accepted(generation),
            StreamEvent::Tokens { first, texts } => self.on_tokens(first, texts),
            StreamEvent::Ended { total, end } => self.on_ended(total, end),
            StreamEvent::Gone => self.on_gone(),
            StreamEvent::LinkBroken => self.resume(),
        }
    }

    fn on_accepted(&mut self, generation: GenerationId) -> CursorStep {
        match &self.generation {
            Some(known) if *known != generation => CursorStep::Ignore,
            _ => {
                self.generation = Some(generation);
                CursorStep::Continue
            }
        }
    }

    fn on_tokens(&mut self, first: TokenIndex, texts: Vec<Arc<str>>) -> CursorStep {
        if first > self.next || self.generation.is_none() {
            return self.resume();
        }
        let already_received = usize::try_from(self.next.get() - first.get()).unwrap_or(usize::MAX);
        for text in texts.into_iter().skip(already_received) {
            if self.free_capacity() == 0 {
                // The remaining tokens are dropped and read again after the caller has taken some.
                return CursorStep::Continue;
            }
            let index = self.next;
            self.buffer.push_back(OutputToken { index, text });
            self.next = index.next();
        }
        CursorStep::Continue
    }

    fn on_ended(&mut self, total: TokenIndex, end: GenerationEnd) -> CursorStep {
        if total > self.next {
            return self.resume();
        }
        if total < self.next {
            // The end belongs to a different generation, so the stream can't be completed
            // correctly.
            return self.fail();
        }
        if self.next.get() == 0 && matches!(end, GenerationEnd::Failed(_) | GenerationEnd::Overflow)
        {
            return self.restart();
        }
        self.end = Some(end.clone());
        CursorStep::Finish(end)
    }

    fn on_gone(&mut self) -> CursorStep {
        if self.next.get() == 0 {
            return self.restart();
        }
        self.fail()
    }

    /// Ends the stream as failed: tokens were delivered, and the remaining ones are not available.
    fn fail(&mut self) -> CursorStep {
        let end = GenerationEnd::Failed(Outcome::Ran);
        self.end = Some(end.clone());
        CursorStep::Finish(end)
    }

    fn resume(&mut self) -> CursorStep {
        self.current_attempt = None;
        match &self.generation {
            Some(generation) => CursorStep::Resume(generation.clone(), self.next),
            None => CursorStep::Restart,
        }
    }

    /// Discards the generation: no token was delivered, so another generation may replace it.
    fn restart(&mut self) -> CursorStep {
        self.current_attempt = None;
        self.generation = None;
        CursorStep::Restart
    }
}
