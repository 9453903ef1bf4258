//! What an entry writes.

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

fn accepted(buffer_max: usize) -> Cursor {
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
fn gap_is_read_again() {
    let mut cursor = accepted(99);
    cursor.handle(FIRST, tokens(0, 2));
    let step = cursor.handle(FIRST, tokens(3, 1));
    assert_eq!(step, CursorStep::Resume(id(1), TokenIndex::new(2)));
    assert_eq!(cursor.handle(FIRST, tokens(2, 1)), CursorStep::Ignore);
    assert_eq!(drain(&mut cursor), [0, 1]);
}

#[test]
fn early_end_is_read_again() {
    let mut cursor = accepted(99);
    cursor.handle(FIRST, tokens(0, 2));
    let end = GenerationEnd::Finished("stop".into());
    let total = TokenIndex::new(3);
    let step = cursor.handle(FIRST, StreamEvent::Ended { total, end });
    assert_eq!(step, CursorStep::Resume(id(1), TokenIndex::new(2)));
}

#[test]
fn other_generation_is_ignored() {
    let mut cursor = accepted(99);
    let step = cursor.handle(FIRST, StreamEvent::Accepted(id(2)));
    assert_eq!(step, CursorStep::Ignore);
    assert_eq!(cursor.generation(), Some(&id(1)));
}

#[test]
fn engine_death_before_tokens_restarts() {
    let mut cursor = accepted(99);
    let end = GenerationEnd::Failed(Outcome::Unknown);
    let total = TokenIndex::new(0);
    let step = cursor.handle(FIRST, StreamEvent::Ended { total, end });
    assert_eq!(step, CursorStep::Restart);
}

#[test]
fn engine_death_after_tokens_is_told() {
    let mut cursor = accepted(99);
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
fn slow_reader_holds_its_buffer() {
    let mut cursor = accepted(3);
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

    /// Whatever arrives, what leaves counts from 0 without gap or repeat.
    #[test]
    fn always_in_order(parts in prop::collection::vec((0_u64..12, 0_u64..5, 1_u128..3), 0..40)) {
        let mut cursor = accepted(8);
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
