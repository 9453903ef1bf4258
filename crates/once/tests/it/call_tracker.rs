//! Outcome reported to a caller after several attempts.

use lentil_core::{AttemptId, BootId, Outcome, Refusal, RefusalReason};
use lentil_once::{AttemptReport, CallTracker, Executor, NextStep};

const FIRST: AttemptId = AttemptId::new(1);
const SECOND: AttemptId = AttemptId::new(2);
const REASON: RefusalReason = RefusalReason::EndpointFailed;

fn not_run() -> AttemptReport {
    AttemptReport::Refused(Outcome::NotRun, RefusalReason::BadRequest)
}

fn refusal_of(step: Option<NextStep>) -> Option<Refusal> {
    match step? {
        NextStep::Refuse(refusal) => Some(refusal),
        NextStep::Retry(_) => None,
    }
}

#[test]
fn lost_attempt_yields_unknown() {
    let mut call = CallTracker::new(2);
    call.begin(FIRST);
    assert_eq!(
        call.report(FIRST, &AttemptReport::Lost),
        Some(NextStep::Retry(None))
    );
    call.begin(SECOND);
    let refusal = refusal_of(call.report(SECOND, &not_run())).unwrap();
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[test]
fn resolved_attempt_yields_not_run() {
    let mut call = CallTracker::new(2);
    call.begin(FIRST);
    call.report(FIRST, &AttemptReport::Lost);
    call.resolve_lost(FIRST, Outcome::NotRun);
    assert_eq!(call.give_up(REASON).outcome(), Outcome::NotRun);
}

#[test]
fn running_attempt_yields_unknown() {
    let mut call = CallTracker::new(2);
    assert_eq!(call.give_up(REASON).outcome(), Outcome::NotRun);
    call.begin(FIRST);
    assert_eq!(call.give_up(REASON).outcome(), Outcome::Unknown);
}

#[test]
fn late_report_is_ignored() {
    let mut call = CallTracker::new(3);
    call.begin(FIRST);
    call.report(FIRST, &AttemptReport::Lost);
    call.begin(SECOND);
    assert_eq!(call.report(FIRST, &not_run()), None);
    assert!(call.is_current(SECOND));
}

#[test]
fn unreachable_executor_yields_unknown() {
    let mut call = CallTracker::new(2);
    call.begin(FIRST);
    let executor = Executor {
        endpoint: "certdesk-1".parse().unwrap(),
        boot: BootId::new(1),
    };
    let endpoint = executor.endpoint.clone();
    assert_eq!(
        call.report(FIRST, &AttemptReport::Follow(executor)),
        Some(NextStep::Retry(Some(endpoint)))
    );
    call.begin(SECOND);
    let refusal = refusal_of(call.report(SECOND, &AttemptReport::NeverSent(REASON))).unwrap();
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[test]
fn ran_outcome_is_final() {
    let mut call = CallTracker::new(3);
    call.begin(FIRST);
    let ran = AttemptReport::Refused(Outcome::Ran, REASON);
    let refusal = refusal_of(call.report(FIRST, &ran)).unwrap();
    assert_eq!(refusal.outcome(), Outcome::Ran);
    call.begin(SECOND);
    let refusal = refusal_of(call.report(SECOND, &not_run())).unwrap();
    assert_eq!(refusal.outcome(), Outcome::Ran);
}
