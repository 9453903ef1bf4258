//! Decisions of the ledger, by the order of batches in the log.

use lentil_core::{AttemptId, BootId, Fingerprint, Offset};
use lentil_once::{
    Answer, Batch, ClaimLedger, DecisionKind, Executor, HolderState, KeyDigest, Record,
};

const KEY: KeyDigest = KeyDigest::new(1);

fn batch(endpoint: &str, boot: u64, sequence: u64, records: Vec<Record>) -> Batch {
    let executor = Executor {
        endpoint: endpoint.parse().unwrap(),
        boot: BootId::new(boot),
    };
    Batch {
        executor,
        sequence,
        records,
    }
}

fn claim(number: u128) -> Record {
    Record::Claim {
        claim: AttemptId::new(number),
        key: KEY,
        fingerprint: Fingerprint::new(9),
    }
}

fn release(number: u128) -> Record {
    Record::Release {
        claim: AttemptId::new(number),
        key: KEY,
    }
}

fn done(number: u128, body: &[u8]) -> Record {
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
    };
    Record::Done {
        claim: AttemptId::new(number),
        key: KEY,
        answer: Some(answer),
    }
}

/// Applies batches at consecutive offsets and returns the decisions in order.
fn apply_all(ledger: &mut ClaimLedger, batches: &[Batch]) -> Vec<DecisionKind> {
    (0..)
        .zip(batches)
        .flat_map(|(offset, batch)| ledger.apply(Offset::new(offset), batch))
        .map(|decision| decision.kind)
        .collect()
}

#[test]
fn claim_at_lowest_offset_wins() {
    let mut ledger = ClaimLedger::new(1000);
    let decisions = apply_all(
        &mut ledger,
        &[
            batch("a", 1, 0, vec![claim(1)]),
            batch("b", 1, 0, vec![claim(2)]),
        ],
    );
    assert_eq!(decisions, [DecisionKind::Won, DecisionKind::Lost]);
    assert_eq!(ledger.holder(KEY).unwrap().claim, AttemptId::new(1));
}

#[test]
fn duplicate_batch_after_release_is_ignored() {
    let mut ledger = ClaimLedger::new(1000);
    let first = batch("a", 1, 0, vec![claim(1)]);
    let decisions = apply_all(
        &mut ledger,
        &[first.clone(), batch("a", 1, 1, vec![release(1)]), first],
    );
    assert_eq!(decisions, [DecisionKind::Won]);
    assert!(ledger.holder(KEY).is_none());
}

#[test]
fn claim_after_newer_boot_is_void() {
    let mut ledger = ClaimLedger::new(1000);
    let decisions = apply_all(
        &mut ledger,
        &[
            batch("a", 2, 0, vec![Record::Start]),
            batch("a", 1, 5, vec![claim(1)]),
            batch("b", 1, 0, vec![claim(2)]),
        ],
    );
    assert_eq!(decisions, [DecisionKind::Void, DecisionKind::Won]);
}

#[test]
fn outcome_from_replaced_boot_is_kept() {
    let mut ledger = ClaimLedger::new(1000);
    apply_all(
        &mut ledger,
        &[
            batch("a", 1, 0, vec![claim(1)]),
            batch("a", 2, 0, vec![Record::Start]),
            batch("a", 1, 1, vec![done(1, b"x")]),
        ],
    );
    assert!(matches!(
        ledger.holder(KEY).unwrap().state,
        HolderState::Done(Some(_))
    ));
}

#[test]
fn release_after_done_is_ignored() {
    let mut ledger = ClaimLedger::new(1000);
    let decisions = apply_all(
        &mut ledger,
        &[
            batch("a", 1, 0, vec![claim(1), done(1, b"x"), release(1)]),
            batch("b", 1, 0, vec![claim(2)]),
        ],
    );
    assert_eq!(decisions, [DecisionKind::Won, DecisionKind::Lost]);
}

#[test]
fn kept_answers_are_bounded() {
    let mut ledger = ClaimLedger::new(8);
    let other = Record::Claim {
        claim: AttemptId::new(2),
        key: KeyDigest::new(2),
        fingerprint: Fingerprint::new(9),
    };
    apply_all(
        &mut ledger,
        &[batch("a", 1, 0, vec![claim(1), done(1, b"12345"), other])],
    );
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        body: b"67890".as_slice().into(),
    };
    let key = KeyDigest::new(2);
    let record = Record::Done {
        claim: AttemptId::new(2),
        key,
        answer: None,
    };
    ledger.apply(Offset::new(1), &batch("a", 1, 1, vec![record]));
    ledger.keep_answer(key, AttemptId::new(2), answer);
    assert_eq!(ledger.holder(KEY).unwrap().state, HolderState::Done(None));
    assert!(matches!(
        ledger.holder(key).unwrap().state,
        HolderState::Done(Some(_))
    ));
    assert_eq!(ledger.answers_dropped(), 1);
}

#[test]
fn trim_removes_old_keys() {
    let mut ledger = ClaimLedger::new(1000);
    apply_all(&mut ledger, &[batch("a", 1, 0, vec![claim(1)])]);
    ledger.trim(Offset::new(0));
    assert_eq!(ledger.len(), 1);
    ledger.trim(Offset::new(1));
    assert!(ledger.is_empty());
}
