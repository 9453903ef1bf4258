//! Events out of bytes that come in any pieces.

use lentil_gateway::EventSplitter;
use proptest::prelude::*;

const STREAM: &str = "id: 0\ndata: a\n\nid:1\r\ndata: b\r\n\r\ndata: no number\n\n\
                      weight-versions: 2\nid: 12\ndata: c\n\n";

fn split(pieces: &[&[u8]]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event().unwrap() {
            let text = String::from_utf8(event.bytes.to_vec()).unwrap();
            events.push((event.id, text));
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn numbers_and_bytes() {
    let (events, broken_off) = split(&[STREAM.as_bytes()]);
    let numbers: Vec<_> = events.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, [Some(0), Some(1), None, Some(12)]);
    let joined: String = events.into_iter().map(|(_, text)| text).collect();
    assert_eq!(joined, STREAM);
    assert!(!broken_off);
}

#[test]
fn broken_off_is_kept_back() {
    let (events, broken_off) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(broken_off);
}

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 2 * 1024 * 1024]);
    assert!(splitter.next_event().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    #[test]
    fn pieces_change_nothing(sizes in prop::collection::vec(1_usize..9, 1..80)) {
        let mut rest = STREAM.as_bytes();
        let mut pieces = Vec::new();
        for size in sizes {
            let (piece, after) = rest.split_at(size.min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        prop_assert_eq!(split(&pieces), split(&[STREAM.as_bytes()]));
    }
}
