//! Scripted claim streams.

use lentil_core::{AttemptId, BootId, Fingerprint, Offset, Time};
use lentil_once::{Batch, ClaimLedger, Executor, KeyDigest, Record};
use lentil_scenario::Subject;
use serde::Deserialize;

const KEY: KeyDigest = KeyDigest::new(1);

/// A batch appended to the log; `records` lists its records, such as `claim 1`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Append {
    endpoint: String,
    boot: u64,
    sequence: u64,
    records: Vec<String>,
}

struct ClaimStream {
    ledger: ClaimLedger,
    next: Offset,
}

fn record(text: &str) -> Record {
    let (kind, number) = text.split_once(' ').unwrap_or((text, "0"));
    let claim = AttemptId::new(number.parse().unwrap());
    match kind {
        "start" => Record::Start,
        "claim" => Record::Claim {
            claim,
            key: KEY,
            fingerprint: Fingerprint::new(9),
        },
        "release" => Record::Release { claim, key: KEY },
        "done" => Record::Done {
            claim,
            key: KEY,
            answer: None,
        },
        _ => panic!("unknown record: {text}"),
    }
}

impl Subject for ClaimStream {
    type Step = Append;

    fn apply(&mut self, _now: Time, step: Append) -> Vec<String> {
        let batch = Batch {
            executor: Executor {
                endpoint: step.endpoint.parse().unwrap(),
                boot: BootId::new(step.boot),
            },
            sequence: step.sequence,
            records: step.records.iter().map(|text| record(text)).collect(),
        };
        let decisions = self.ledger.apply(self.next, &batch);
        self.next = self.next.next();
        let decided = decisions
            .iter()
            .map(|decision| format!("claim {} {:?}", decision.claim.get(), decision.kind));
        let holder = self.ledger.holder(KEY).map_or_else(
            || "nobody holds the key".to_owned(),
            |holder| format!("held by claim {}: {:?}", holder.claim.get(), holder.state),
        );
        decided.chain([holder]).collect()
    }
}

#[test]
fn paused_and_replaced() {
    let mut stream = ClaimStream {
        ledger: ClaimLedger::new(1000),
        next: Offset::new(0),
    };
    let text = include_str!("scenarios/paused_and_replaced.yaml");
    insta::assert_snapshot!(lentil_scenario::run(text, &mut stream).unwrap());
}
