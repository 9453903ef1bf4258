//! A fake service that records its executions.

use std::collections::BTreeMap;
use std::sync::Arc;

use lentil_core::{AttemptId, Fingerprint};
use lentil_once::{Answer, KeyDigest};

/// Records the executions per key and answers each request with its expected body.
#[derive(Debug, Default)]
pub(crate) struct FakeService {
    pub(crate) runs: BTreeMap<KeyDigest, Vec<AttemptId>>,
}

impl FakeService {
    pub(crate) fn run(
        &mut self,
        key: KeyDigest,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> Answer {
        let runs = self.runs.entry(key).or_default();
        runs.push(attempt);
        Answer {
            status: 200,
            headers: Vec::new(),
            body: Arc::from(expected_body(key, fingerprint).into_bytes()),
        }
    }
}

/// Body of a complete answer to this request.
pub(crate) fn expected_body(key: KeyDigest, fingerprint: Fingerprint) -> String {
    format!("confirmed {key} {fingerprint}")
}
