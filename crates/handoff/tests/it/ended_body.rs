//! What the end of a stream's body proves.

use lentil_core::{Span, Time};
use lentil_handoff::{BodyFraming, Doubt, EndedBody, OrderOutcome, StopOrder};

fn ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

/// Guards against a stopped stream that passes for a complete one: only a delimited body
/// shows that it is complete after an order to stop it that may have been carried out.
#[test]
fn stopped_stream() {
    let doubt = |framing, stop_order| {
        let end = EndedBody {
            framing,
            stop_order,
            ended_at: ms(100),
            budget_ends_at: ms(6_000),
            endpoint_ended: false,
            answers_after: None,
        };
        end.doubt()
    };
    let unsettled = StopOrder::Unsettled;
    assert_eq!(
        doubt(BodyFraming::UntilClose, unsettled),
        Some(Doubt::Stopped)
    );
    assert_eq!(doubt(BodyFraming::Delimited, unsettled), None);
    assert_eq!(
        doubt(BodyFraming::UntilClose, StopOrder::NotCarriedOut),
        None
    );
}

/// Guards against an order that is replaced before its answer arrives and then counts as not
/// carried out.
#[test]
fn replaced_order() {
    let unsettled = |outcome: OrderOutcome| outcome.is_unsettled_if_replaced();
    assert!(unsettled(OrderOutcome::InFlight));
    assert!(unsettled(OrderOutcome::Stopped));
    assert!(unsettled(OrderOutcome::Unknown));
    assert!(!unsettled(OrderOutcome::NoSuchRun));
    assert!(!unsettled(OrderOutcome::NotCarriedOut));
}

/// Guards against an answer that its endpoint stopped at the time budget and that passes for a
/// complete one, also where the end arrives a little before the budget is over.
#[test]
fn stopped_at_time_budget() {
    let doubt = |framing, ended_at| {
        let end = EndedBody {
            framing,
            stop_order: StopOrder::NotCarriedOut,
            ended_at: ms(ended_at),
            budget_ends_at: ms(6_000),
            endpoint_ended: false,
            answers_after: None,
        };
        end.doubt()
    };
    assert_eq!(doubt(BodyFraming::UntilClose, 5_900), None);
    for ended_at in [5_990, 5_999, 6_000, 6_100] {
        let known = doubt(BodyFraming::UntilClose, ended_at);
        assert_eq!(known, Some(Doubt::BudgetOver), "{ended_at}");
        assert_eq!(doubt(BodyFraming::Delimited, ended_at), None);
    }
}

/// Guards against a stream that was cut off with its engine and that passes for a complete one.
#[test]
fn endpoint_ended() {
    let doubt = |framing, endpoint_ended| {
        let end = EndedBody {
            framing,
            stop_order: StopOrder::NotCarriedOut,
            ended_at: ms(100),
            budget_ends_at: ms(6_000),
            endpoint_ended,
            answers_after: None,
        };
        end.doubt()
    };
    let known = doubt(BodyFraming::UntilClose, true);
    assert_eq!(known, Some(Doubt::EndpointEnded));
    assert_eq!(doubt(BodyFraming::UntilClose, false), None);
    assert_eq!(doubt(BodyFraming::Delimited, true), None);
}

/// Guards against a stream that was cut off with an engine that was killed: one that does not
/// answer afterwards proves nothing. Only where nothing else is doubtful is it asked.
#[test]
fn silent_endpoint() {
    let end = |framing, endpoint_ended, answers_after| EndedBody {
        framing,
        stop_order: StopOrder::NotCarriedOut,
        ended_at: ms(100),
        budget_ends_at: ms(6_000),
        endpoint_ended,
        answers_after,
    };
    let doubt = |framing, answers_after| end(framing, false, answers_after).doubt();
    assert_eq!(doubt(BodyFraming::UntilClose, Some(true)), None);
    let silent = doubt(BodyFraming::UntilClose, Some(false));
    assert_eq!(silent, Some(Doubt::EndpointSilent));
    assert_eq!(doubt(BodyFraming::Delimited, Some(false)), None);
    assert!(end(BodyFraming::UntilClose, false, None).needs_answer());
    assert!(!end(BodyFraming::UntilClose, true, None).needs_answer());
    assert!(!end(BodyFraming::Delimited, false, None).needs_answer());
}
