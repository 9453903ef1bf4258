//! Rows of the recovery table.

use std::collections::BTreeSet;

use lentil_once::{
    ClaimState, Evidence, ExecutorState, OutcomeState, RECOVERY_TABLE, RecoveryAction,
    RecoveryInput, select_recovery,
};

fn all_inputs() -> Vec<RecoveryInput> {
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
fn every_row_is_reachable() {
    let decided: BTreeSet<&str> = all_inputs()
        .iter()
        .map(|s| select_recovery(s).name)
        .collect();
    let rows: BTreeSet<&str> = RECOVERY_TABLE.iter().map(|row| row.name).collect();
    assert_eq!(decided, rows);
}

#[test]
fn claims_only_when_no_other_execution_is_possible() {
    for input in all_inputs() {
        let action = select_recovery(&input).action;
        let may_run = matches!(
            action,
            RecoveryAction::Claim | RecoveryAction::ReleaseAndClaim
        );
        let proven = input.claim == ClaimState::None
            || (input.claim == ClaimState::Held
                && input.executor == ExecutorState::Gone
                && input.outcome == OutcomeState::None
                && input.evidence == Evidence::Barred);
        assert_eq!(may_run, proven, "{input:?}");
    }
}

#[test]
fn rows_match_snapshot() {
    let rows: Vec<String> = RECOVERY_TABLE
        .iter()
        .map(|row| format!("{}: {:?}", row.name, row.action))
        .collect();
    insta::assert_yaml_snapshot!(rows);
}
