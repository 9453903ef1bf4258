//! Splitting of a byte stream into events, for any division into chunks.

use lentil_stream::{EventSplitter, SplitError};
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
fn data_of_events() {
    for (event, data) in [
        ("id: 1\ndata: a b \n\n", "a b "),
        ("data:a\r\ndata: b\r\n\r\n", "a\nb"),
        ("data\n\n", ""),
        (": comment\n\n", ""),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(event.as_bytes());
        let event = splitter.next_event().unwrap().unwrap();
        assert_eq!(event.data().unwrap(), data);
    }
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

/// Whatever an endpoint writes in place of an event, nothing of it is returned.
#[test]
fn error_is_no_event() {
    for text in [
        "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\noops\n\n",
        "Internal Server Error\n\n",
        "{\"error\":\"oops\"}\n\n",
        "<html>\n\n",
        "data: a\noops\n\n",
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(b"id: 0\ndata: a\n\n");
        splitter.push(text.as_bytes());
        assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(0));
        for _ in 0..2 {
            assert_eq!(splitter.next_event(), Err(SplitError::NoField), "{text}");
        }
        splitter.clear();
        assert_eq!(splitter.next_event(), Ok(None));
    }
    for text in [
        ": comment\n\n",
        ":\n\n",
        "data\n\n",
        "retry: 7\r\n\r\n",
        "x-y_1: z\n\n",
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        assert_eq!(splitter.next_event().unwrap().unwrap().bytes, text);
    }
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
