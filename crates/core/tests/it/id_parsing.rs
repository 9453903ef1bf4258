//! Identifiers, and names that operators choose freely.

use lentil_core::{EndpointId, EntryId, GenerationId, OrganisationId, ParseIdError};

#[test]
fn labels_hold_any_text_of_a_header() {
    for text in [
        "touring venue group",
        "Tōkyō & Söhne / 2",
        "a~b",
        &"x".repeat(1_024),
    ] {
        assert_eq!(text.parse::<OrganisationId>().unwrap().as_str(), text);
    }
    for text in [" a", "a ", "a\nb", "\u{7f}", "\t", " "] {
        assert_eq!(text.parse::<OrganisationId>(), Err(ParseIdError::Label));
    }
    assert_eq!("".parse::<OrganisationId>(), Err(ParseIdError::Empty));
    let long = "x".repeat(1_025).parse::<OrganisationId>();
    assert!(matches!(long, Err(ParseIdError::LabelTooLong { .. })));
}

#[test]
fn identifiers_are_plain() {
    assert!("entry-1_a.b:c".parse::<EntryId>().is_ok());
    for text in ["entry 1", "a/b", "a~b", &"x".repeat(129)] {
        assert!(text.parse::<EntryId>().is_err(), "{text}");
    }
}

/// The name of an endpoint may contain the separator of a generation's id.
#[test]
fn generation_id_round_trip() {
    for endpoint in ["engine-1", "a~b", "a~1~2", "rack 7"] {
        let id = GenerationId {
            endpoint: endpoint.parse::<EndpointId>().unwrap(),
            boot: lentil_core::BootId::new(0x1f),
            number: 7,
        };
        assert_eq!(id.to_string().parse::<GenerationId>().unwrap(), id);
    }
    assert_eq!("a~1".parse::<GenerationId>(), Err(ParseIdError::Parts));
}
