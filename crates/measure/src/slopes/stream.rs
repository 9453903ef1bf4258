//! Marginal costs of journalled and delivered tokens.

use std::sync::Arc;

use lentil_core::{AttemptId, BootId, GenerationId, ParseIdError, Span, Time, TokenIndex};
use lentil_stream::{Cursor, GenerationStore, Limits, StreamEvent, TokenJournal};

use super::fit::{Slope, Unit};
use super::fixtures;
use super::meter;

const TOKEN_TEXT: &str = " rigging";
/// Tokens per message.
const TOKENS_PER_MESSAGE: usize = 4;
const BUFFER_MAX: usize = 1_024;
const LIMITS: Limits = Limits {
    generations_max: 4_096,
    tokens_max_bytes: 64 * 1_024 * 1_024,
    hold: Span::from_s(60),
};

fn index(count: usize) -> TokenIndex {
    TokenIndex::new(u64::try_from(count).unwrap_or(u64::MAX))
}

fn generation(number: usize) -> Result<GenerationId, ParseIdError> {
    Ok(GenerationId {
        endpoint: fixtures::endpoint(0)?,
        boot: BootId::new(1),
        number: u64::try_from(number).unwrap_or(u64::MAX),
    })
}

fn journal_with_tokens(tokens: usize) -> TokenJournal {
    let mut journal = TokenJournal::starting_at(TokenIndex::default());
    for token in 0..tokens {
        let _ = journal.push(index(token), TOKEN_TEXT);
    }
    journal
}

fn store_with_generations(count: usize) -> Result<GenerationStore, ParseIdError> {
    let mut store = GenerationStore::new(LIMITS);
    for number in 0..count {
        let _ = store.open(
            Time::ZERO,
            &generation(number)?,
            None,
            TokenIndex::default(),
        );
    }
    Ok(store)
}

fn deliver(generation: GenerationId, tokens: usize) {
    let attempt = AttemptId::new(1);
    let text: Arc<str> = Arc::from(TOKEN_TEXT);
    let mut cursor = Cursor::new(BUFFER_MAX);
    cursor.set_attempt(attempt);
    cursor.handle(attempt, StreamEvent::Accepted(generation));
    for first in (0..tokens).step_by(TOKENS_PER_MESSAGE) {
        let first = index(first);
        let texts = vec![Arc::clone(&text); TOKENS_PER_MESSAGE];
        cursor.handle(attempt, StreamEvent::Tokens { first, texts });
        while let Some(written) = cursor.take() {
            std::hint::black_box(written);
        }
    }
}

pub(crate) fn slopes() -> Result<Vec<Slope>, ParseIdError> {
    let sizes = [400_000, 800_000, 1_600_000];
    let delivery_times = meter::time(
        &sizes,
        |_| generation(1),
        |generation, tokens| {
            if let Ok(generation) = generation {
                deliver(generation, tokens);
            }
        },
    );
    let append_times = meter::time(
        &sizes,
        |_| (),
        |(), tokens| drop(journal_with_tokens(tokens)),
    );
    let token_memory = meter::memory(&[65_536, 131_072, 262_144], journal_with_tokens);
    let generation_memory = meter::memory(&[128, 256, 512], store_with_generations);
    Ok(vec![
        Slope::fit("entry: token delivered", Unit::Nanoseconds, delivery_times),
        Slope::fit("agent: token journalled", Unit::Nanoseconds, append_times),
        Slope::fit("agent: token held", Unit::Bytes, token_memory),
        Slope::fit("agent: generation held", Unit::Bytes, generation_memory),
    ])
}
