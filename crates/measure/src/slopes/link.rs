//! Marginal costs of messages between entries and agents.

use std::hint::black_box;

use lentil_wire::v1;
use prost::Message as _;

use super::fit::{Point, Slope, Unit};
use super::meter;

/// Size of the headers in front of a message: 5 bytes of gRPC and 9 bytes of HTTP/2.
pub(crate) const FRAME_BYTES: usize = 5 + 9;

fn token_event(index: usize) -> v1::RunEvent {
    v1::RunEvent {
        attempt: format!("{:032x}", 7),
        event: Some(v1::run_event::Event::Tokens(v1::Tokens {
            first_index: u64::try_from(index).unwrap_or(u64::MAX),
            texts: vec![" rigging".to_owned()],
        })),
    }
}

/// Builds a load report with the values of a typical agent.
fn load_report() -> v1::LoadReport {
    v1::LoadReport {
        endpoint: "lentil-pool-0042".to_owned(),
        boot: 1_764_823_000_000_000,
        sequence: 100_000,
        state: 2,
        running: 84,
        free_slots: 44,
        blocks_used: 2_800,
        blocks_total: 4_096,
        wait_ms: 12,
        models: vec!["inspection-writer-3".to_owned()],
        ..v1::LoadReport::default()
    }
}

fn bytes_on_link(sizes: &[usize], message: impl Fn(usize) -> usize) -> Vec<Point> {
    let bytes = |count| (0..count).map(|index| message(index) + FRAME_BYTES).sum();
    meter::count(sizes, bytes)
}

fn encode_and_decode(count: usize) {
    for index in 0..count {
        let buffer = token_event(index).encode_to_vec();
        let _ = black_box(v1::RunEvent::decode(buffer.as_slice()));
    }
}

pub(crate) fn slopes() -> Vec<Slope> {
    let tokens = bytes_on_link(&[50_000, 100_000, 200_000], |index| {
        token_event(index).encoded_len()
    });
    let reports = bytes_on_link(&[1_000, 2_000, 4_000], |_| load_report().encoded_len());
    let codec_times = meter::time(
        &[200_000, 400_000, 800_000],
        |_| (),
        |(), count| encode_and_decode(count),
    );
    vec![
        Slope::fit("link: token", Unit::Bytes, tokens),
        Slope::fit(
            "link: token encoded and decoded",
            Unit::Nanoseconds,
            codec_times,
        ),
        Slope::fit("link: load report", Unit::Bytes, reports),
    ]
}
