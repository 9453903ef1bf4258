//! The rows of the recovery table.

use std::collections::BTreeSet;

use lentil_once::{
    ClaimState, Evidence, ExecutorState, OutcomeState, RECOVERY_TABLE, RecoveryAction,
    RecoveryInput, select_recovery,
};

fn situations() -> Vec<RecoveryInput> {
    let claims = [
        ClaimState::Unread,
        ClaimState::None,
        ClaimState::Held,
        ClaimState::HeldForOtherRequest,
        ClaimState::OtherSystem,
    ];
    let executors = [
        ExecutorState::Local,
        ExecutorState::Remote,
        ExecutorState::Unreachable,
        ExecutorState::Gone,
    ];
    let outcomes = [
        OutcomeState::None,
        OutcomeState::AnswerKept,
        OutcomeState::AnswerLost,
    ];
    let evidences = [Evidence::None, Evidence::Ran, Evidence::Barred];
    let mut all = Vec::new();
    for claim in claims {
        for executor in executors {
            for outcome in outcomes {
                for evidence in evidences {
                    all.push(RecoveryInput {
                        claim,
                        executor,
                        outcome,
                        evidence,
                    });
                }
            }
        }
    }
    all
}

#[test]
fn every_row_decides() {
    let decided: BTreeSet<&str> = situations()
        .iter()
        .map(|s| select_recovery(s).name)
        .collect();
    let rows: BTreeSet<&str> = RECOVERY_TABLE.iter().map(|row| row.name).collect();
    assert_eq!(decided, rows);
}

#[test]
fn runs_only_without_a_claim() {
    for situation in situations() {
        let step = select_recovery(&situation).step;
        let may_run = matches!(
            step,
            RecoveryAction::Claim | RecoveryAction::ReleaseAndClaim
        );
        let proved = situation.claim == ClaimState::None
            || (situation.claim == ClaimState::Held
                && situation.executor == ExecutorState::Gone
                && situation.outcome == OutcomeState::None
                && situation.evidence == Evidence::Barred);
        assert_eq!(may_run, proved, "{situation:?}");
    }
}

#[test]
fn table_as_reviewed() {
    let rows: Vec<String> = RECOVERY_TABLE
        .iter()
        .map(|row| format!("{}: {:?}", row.name, row.step))
        .collect();
    insta::assert_yaml_snapshot!(rows);
}
