//! Tokens of a single generation.

use lentil_core::TokenIndex;
use lentil_stream::{GenerationEnd, JournalError, PushResult, ReadResult, TokenJournal};

fn token_index(index: u64) -> TokenIndex {
    TokenIndex::new(index)
}

fn journal_of(texts: &[&str]) -> TokenJournal {
    let mut journal = TokenJournal::default();
    for (index, text) in (0..).zip(texts) {
        assert_eq!(
            journal.push(token_index(index), text),
            Ok(PushResult::Added)
        );
    }
    journal
}

#[test]
fn repeated_token_is_a_duplicate() {
    let mut journal = journal_of(&["a", "b"]);
    assert_eq!(journal.push(token_index(0), "a"), Ok(PushResult::Duplicate));
    assert_eq!(journal.next(), token_index(2));
}

#[test]
fn gap_reports_first_missing_index() {
    let mut journal = journal_of(&["a"]);
    assert_eq!(
        journal.push(token_index(3), "d"),
        Ok(PushResult::Gap(token_index(1)))
    );
    assert_eq!(journal.next(), token_index(1));
}

#[test]
fn diverging_token_is_rejected() {
    let mut journal = journal_of(&["a", "b"]);
    let diverged = JournalError::Diverged {
        index: token_index(1),
    };
    assert_eq!(journal.push(token_index(1), "x"), Err(diverged));
}

#[test]
fn reads_from_any_index() {
    let mut journal = journal_of(&["a", "b", "c"]);
    let ReadResult::Tokens { first, texts } = journal.read(token_index(1), 9) else {
        panic!("tokens are held");
    };
    assert_eq!((first, texts.len()), (token_index(1), 2));
    assert_eq!(journal.read(token_index(3), 9), ReadResult::Waiting);
    assert_eq!(journal.read(token_index(4), 9), ReadResult::Gone);
    journal.finish(GenerationEnd::Cancelled);
    journal.finish(GenerationEnd::Overflow);
    assert_eq!(
        journal.read(token_index(3), 9),
        ReadResult::Ended(GenerationEnd::Cancelled)
    );
}

#[test]
fn journal_taken_over_midway_starts_at_its_first_index() {
    let mut journal = TokenJournal::starting_at(token_index(10));
    assert_eq!(journal.push(token_index(10), "k"), Ok(PushResult::Added));
    assert_eq!(journal.read(token_index(9), 1), ReadResult::Gone);
    assert!(matches!(
        journal.read(token_index(10), 1),
        ReadResult::Tokens { .. }
    ));
}
