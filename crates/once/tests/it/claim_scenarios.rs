//! Scripted claim streams.

use lentil_core::{AttemptId, BootId, Fingerprint, Offset, Time};
use lentil_once::{Batch, ClaimLedger, Executor, KeyDigest, Record};
use lentil_scenario::Subject;
use serde::Deserialize;

const KEY: KeyDigest = KeyDigest::new(1);

/// One batch that arrives in the log; `says` holds words such as `claim 1`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Append {
    endpoint: String,
    boot: u64,
    sequence: u64,
    says: Vec<String>,
}

struct Stream {
    ledger: ClaimLedger,
    next: Offset,
}

fn record(text: &str) -> Record {
    let (word, number) = text.split_once(' ').unwrap_or((text, "0"));
    let claim = AttemptId::new(number.parse().unwrap());
    match word {
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
        _ => panic!("no record: {text}"),
    }
}

impl Subject for Stream {
    type Step = Append;

    fn apply(&mut self, _now: Time, step: Append) -> Vec<String> {
        let batch = Batch {
            executor: Executor {
                endpoint: step.endpoint.parse().unwrap(),
                boot: BootId::new(step.boot),
            },
            sequence: step.sequence,
            records: step.says.iter().map(|text| record(text)).collect(),
        };
        let verdicts = self.ledger.apply(self.next, &batch);
        self.next = self.next.next();
        let settled = verdicts
            .iter()
            .map(|verdict| format!("claim {} {:?}", verdict.claim.get(), verdict.kind));
        let holder = self.ledger.holder(KEY).map_or_else(
            || "nobody holds the key".to_owned(),
            |holder| format!("held by claim {}: {:?}", holder.claim.get(), holder.state),
        );
        settled.chain([holder]).collect()
    }
}

#[test]
fn paused_and_replaced() {
    let mut stream = Stream {
        ledger: ClaimLedger::new(1000),
        next: Offset::new(0),
    };
    let text = include_str!("scenarios/paused_and_replaced.yaml");
    insta::assert_snapshot!(lentil_scenario::run(text, &mut stream).unwrap());
}
