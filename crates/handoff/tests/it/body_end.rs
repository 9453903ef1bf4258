//! What the end of a stream's body proves.

use lentil_handoff::{BodyEnd, BodyFraming, Doubt, StopOrder};

/// Guards against a stopped stream that passes for a complete one: only a delimited body
/// shows that it is complete after an order to stop it that may have been carried out.
#[test]
fn stopped_stream() {
    let doubt = |framing, stop_order| {
        let end = BodyEnd {
            framing,
            stop_order,
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
