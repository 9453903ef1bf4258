//! What an entry writes to its caller, and when it reads the agent again.

use std::collections::VecDeque;
use std::sync::Arc;

use lentil_core::{AttemptId, GenerationId, Outcome, TokenIndex};

use crate::journal::GenerationEnd;

/// What came from an agent, under the attempt that it named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// The agent took the request.
    Accepted(GenerationId),
    /// Consecutive tokens.
    Tokens {
        /// The index of the first.
        first: TokenIndex,
        /// Their texts.
        texts: Vec<Arc<str>>,
    },
    /// The generation ended after this many tokens.
    Ended {
        /// Tokens in all.
        total: TokenIndex,
        /// How it ended.
        end: GenerationEnd,
    },
    /// The agent does not hold the generation from the asked index on.
    Gone,
    /// The link broke.
    LinkBroken,
}

/// What the entry does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CursorStep {
    /// Nothing but writing what [`Cursor::take`] gives.
    Continue,
    /// Read the generation again from this index, under a new attempt.
    Resume(GenerationId, TokenIndex),
    /// No token reached the caller: the request may run again elsewhere.
    Restart,
    /// Tell the caller the end, after everything that [`Cursor::take`] gives.
    Finish(GenerationEnd),
    /// It belongs to another attempt or generation.
    Ignore,
}

/// A token for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutputToken {
    /// Its index.
    pub index: TokenIndex,
    /// Its text.
    pub text: Arc<str>,
}

/// The place of one caller's reading.
///
/// Tokens leave in the order of their indices, each once, and all from the
/// generation that was accepted first. At most `buffer_max` tokens wait for a
/// slow reader; [`Cursor::free_capacity`] says when the agent may be read on.
#[derive(Debug)]
pub struct Cursor {
    source: Option<AttemptId>,
    generation: Option<GenerationId>,
    next: TokenIndex,
    ready: VecDeque<OutputToken>,
    buffer_max: usize,
    end: Option<GenerationEnd>,
}

impl Cursor {
    /// A reading that begins with a new request.
    #[must_use]
    pub const fn new(buffer_max: usize) -> Self {
        Self {
            source: None,
            generation: None,
            next: TokenIndex::new(0),
            ready: VecDeque::new(),
            buffer_max,
            end: None,
        }
    }

    /// A reading that goes on in a held generation.
    #[must_use]
    pub fn resuming(generation: GenerationId, next: TokenIndex, buffer_max: usize) -> Self {
        Self {
            generation: Some(generation),
            next,
            ..Self::new(buffer_max)
        }
    }

    /// Names the attempt whose messages count from now on.
    pub const fn set_attempt(&mut self, attempt: AttemptId) {
        self.source = Some(attempt);
    }

    /// The index that is read next.
    #[must_use]
    pub const fn next(&self) -> TokenIndex {
        self.next
    }

    /// The generation, once it is known.
    #[must_use]
    pub const fn generation(&self) -> Option<&GenerationId> {
        self.generation.as_ref()
    }

    /// How many further tokens the buffer takes.
    #[must_use]
    pub fn free_capacity(&self) -> usize {
        self.buffer_max.saturating_sub(self.ready.len())
    }

    /// The next token for the caller.
    pub fn take(&mut self) -> Option<OutputToken> {
        self.ready.pop_front()
    }

    /// Whether the end was reached and everything was taken.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.end.is_some() && self.ready.is_empty()
    }

    /// Takes what came under `attempt`.
    pub fn handle(&mut self, attempt: AttemptId, event: StreamEvent) -> CursorStep {
        if self.source != Some(attempt) || self.end.is_some() {
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
        let known = usize::try_from(self.next.get() - first.get()).unwrap_or(usize::MAX);
        for text in texts.into_iter().skip(known) {
            if self.free_capacity() == 0 {
                // The rest is read again when the caller has taken some.
                return CursorStep::Continue;
            }
            let index = self.next;
            self.ready.push_back(OutputToken { index, text });
            self.next = index.next();
        }
        CursorStep::Continue
    }

    fn on_ended(&mut self, total: TokenIndex, end: GenerationEnd) -> CursorStep {
        if total > self.next {
            return self.resume();
        }
        if total < self.next {
            // Another generation's end: nothing more can be told truthfully.
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

    /// Tokens were written, and the rest can't be had.
    fn fail(&mut self) -> CursorStep {
        let end = GenerationEnd::Failed(Outcome::Ran);
        self.end = Some(end.clone());
        CursorStep::Finish(end)
    }

    fn resume(&mut self) -> CursorStep {
        self.source = None;
        match &self.generation {
            Some(generation) => CursorStep::Resume(generation.clone(), self.next),
            None => CursorStep::Restart,
        }
    }

    /// Nothing was written: another generation may take the place of this one.
    fn restart(&mut self) -> CursorStep {
        self.source = None;
        self.generation = None;
        CursorStep::Restart
    }
}
