//! One generation's tokens.

use lentil_core::TokenIndex;
use lentil_stream::{GenerationEnd, JournalError, PushResult, ReadResult, TokenJournal};

fn at(index: u64) -> TokenIndex {
    TokenIndex::new(index)
}

fn filled(texts: &[&str]) -> TokenJournal {
    let mut journal = TokenJournal::default();
    for (index, text) in (0..).zip(texts) {
        assert_eq!(journal.push(at(index), text), Ok(PushResult::Added));
    }
    journal
}

#[test]
fn repeated_token_is_known() {
    let mut journal = filled(&["a", "b"]);
    assert_eq!(journal.push(at(0), "a"), Ok(PushResult::Duplicate));
    assert_eq!(journal.next(), at(2));
}

#[test]
fn gap_asks_the_engine_again() {
    let mut journal = filled(&["a"]);
    assert_eq!(journal.push(at(3), "d"), Ok(PushResult::Gap(at(1))));
    assert_eq!(journal.next(), at(1));
}

#[test]
fn other_generation_is_refused() {
    let mut journal = filled(&["a", "b"]);
    let diverged = JournalError::Diverged { index: at(1) };
    assert_eq!(journal.push(at(1), "x"), Err(diverged));
}

#[test]
fn reads_from_any_index() {
    let mut journal = filled(&["a", "b", "c"]);
    let ReadResult::Tokens { first, texts } = journal.read(at(1), 9) else {
        panic!("tokens are held");
    };
    assert_eq!((first, texts.len()), (at(1), 2));
    assert_eq!(journal.read(at(3), 9), ReadResult::Waiting);
    assert_eq!(journal.read(at(4), 9), ReadResult::Gone);
    journal.finish(GenerationEnd::Cancelled);
    journal.finish(GenerationEnd::Overflow);
    assert_eq!(
        journal.read(at(3), 9),
        ReadResult::Ended(GenerationEnd::Cancelled)
    );
}

#[test]
fn taken_over_rest_has_no_start() {
    let mut journal = TokenJournal::starting_at(at(10));
    assert_eq!(journal.push(at(10), "k"), Ok(PushResult::Added));
    assert_eq!(journal.read(at(9), 1), ReadResult::Gone);
    assert!(matches!(journal.read(at(10), 1), ReadResult::Tokens { .. }));
}
