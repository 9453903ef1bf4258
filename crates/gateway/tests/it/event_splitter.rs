//! Splitting of a byte stream into events, for any division into chunks.

use lentil_gateway::EventSplitter;
use proptest::prelude::*;

const STREAM: &str = "id: 0\ndata: a\n\nid:1\r\ndata: b\r\n\r\ndata: no number\n\n\
                      weight-versions: 2\nid: 12\ndata: c\n\n";

fn split(chunks: &[&[u8]]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event().unwrap() {
            let text = String::from_utf8(event.bytes.to_vec()).unwrap();
            events.push((event.id, text));
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn ids_and_bytes() {
    let (events, partial) = split(&[STREAM.as_bytes()]);
    let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [Some(0), Some(1), None, Some(12)]);
    let joined: String = events.into_iter().map(|(_, text)| text).collect();
    assert_eq!(joined, STREAM);
    assert!(!partial);
}

#[test]
fn incomplete_event_is_held_back() {
    let (events, partial) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(partial);
}

#[test]
fn event_without_end() {
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
    fn chunk_sizes_do_not_matter(sizes in prop::collection::vec(1_usize..9, 1..80)) {
        let mut rest = STREAM.as_bytes();
        let mut chunks = Vec::new();
        for size in sizes {
            let (chunk, after) = rest.split_at(size.min(rest.len()));
            chunks.push(chunk);
            rest = after;
        }
        chunks.push(rest);
        prop_assert_eq!(split(&chunks), split(&[STREAM.as_bytes()]));
    }
}
