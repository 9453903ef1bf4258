//! Order of the tokens that an entry writes.

use lentil_core::{AttemptId, BootId, GenerationId, Outcome, TokenIndex};
use lentil_stream::{Cursor, CursorStep, GenerationEnd, StreamEvent};
use proptest::prelude::{ProptestConfig, prop, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

const FIRST: AttemptId = AttemptId::new(1);

fn id(number: u64) -> GenerationId {
    GenerationId {
        endpoint: "pool-1".parse().unwrap(),
        boot: BootId::new(1),
        number,
    }
}

fn tokens(first: u64, count: u64) -> StreamEvent {
    StreamEvent::Tokens {
        first: TokenIndex::new(first),
        texts: (first..first + count)
            .map(|i| i.to_string().into())
            .collect(),
    }
}

fn accepted_cursor(buffer_max: usize) -> Cursor {
    let mut cursor = Cursor::new(buffer_max);
    cursor.set_attempt(FIRST);
    cursor.handle(FIRST, StreamEvent::Accepted(id(1)));
    cursor
}

fn drain(cursor: &mut Cursor) -> Vec<u64> {
    std::iter::from_fn(|| cursor.take())
        .map(|written| written.index.get())
        .collect()
}

#[test]
fn gap_resumes_at_next_index() {
    let mut cursor = accepted_cursor(99);
    cursor.handle(FIRST, tokens(0, 2));
    let step = cursor.handle(FIRST, tokens(3, 1));
    assert_eq!(step, CursorStep::Resume(id(1), TokenIndex::new(2)));
    assert_eq!(cursor.handle(FIRST, tokens(2, 1)), CursorStep::Ignore);
    assert_eq!(drain(&mut cursor), [0, 1]);
}

#[test]
fn early_end_resumes_at_next_index() {
    let mut cursor = accepted_cursor(99);
    cursor.handle(FIRST, tokens(0, 2));
    let end = GenerationEnd::Finished("stop".into());
    let total = TokenIndex::new(3);
    let step = cursor.handle(FIRST, StreamEvent::Ended { total, end });
    assert_eq!(step, CursorStep::Resume(id(1), TokenIndex::new(2)));
}

#[test]
fn accepted_event_of_other_generation_is_ignored() {
    let mut cursor = accepted_cursor(99);
    let step = cursor.handle(FIRST, StreamEvent::Accepted(id(2)));
    assert_eq!(step, CursorStep::Ignore);
    assert_eq!(cursor.generation(), Some(&id(1)));
}

#[test]
fn engine_failure_before_first_token_restarts() {
    let mut cursor = accepted_cursor(99);
    let end = GenerationEnd::Failed(Outcome::Unknown);
    let total = TokenIndex::new(0);
    let step = cursor.handle(FIRST, StreamEvent::Ended { total, end });
    assert_eq!(step, CursorStep::Restart);
}

#[test]
fn engine_failure_after_tokens_is_reported() {
    let mut cursor = accepted_cursor(99);
    cursor.handle(FIRST, tokens(0, 2));
    let end = GenerationEnd::Failed(Outcome::Ran);
    let total = TokenIndex::new(2);
    let step = cursor.handle(
        FIRST,
        StreamEvent::Ended {
            total,
            end: end.clone(),
        },
    );
    assert_eq!(step, CursorStep::Finish(end));
    assert_eq!(drain(&mut cursor), [0, 1]);
    assert!(cursor.is_finished());
}

#[test]
fn full_buffer_drops_excess_tokens() {
    let mut cursor = accepted_cursor(3);
    cursor.handle(FIRST, tokens(0, 9));
    assert_eq!(
        (cursor.free_capacity(), cursor.next()),
        (0, TokenIndex::new(3))
    );
    assert_eq!(drain(&mut cursor), [0, 1, 2]);
    assert_eq!(cursor.free_capacity(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// For any sequence of events, the written indices count up from 0 without a gap or repeat.
    #[test]
    fn tokens_are_written_in_order(parts in prop::collection::vec((0_u64..12, 0_u64..5, 1_u128..3), 0..40)) {
        let mut cursor = accepted_cursor(8);
        let mut written = Vec::new();
        let mut source = 1;
        for (first, count, attempt) in parts {
            let step = cursor.handle(AttemptId::new(attempt), tokens(first, count));
            if let CursorStep::Resume(_, _) = step {
                source = 3 - source;
                cursor.set_attempt(AttemptId::new(source));
            }
            written.extend(drain(&mut cursor));
        }
        let counted: Vec<u64> = (0..).take(written.len()).collect();
        prop_assert_eq!(written, counted);
    }
}
