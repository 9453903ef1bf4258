//! Marginal costs of the platform's host list.

use lentil_core::EndpointId;
use lentil_platform::{HostKind, HostRecord, HostRole, HostState, HostsReply};

use super::fit::{Slope, Unit};
use super::fixtures;
use super::meter;

fn host_record(index: usize) -> eyre::Result<HostRecord> {
    let process: EndpointId = fixtures::endpoint(index)?;
    Ok(HostRecord {
        process,
        role: HostRole::Agent,
        host: format!("engine-host-{index:04}").parse()?,
        zone: fixtures::zone(index)?,
        region: fixtures::region()?,
        peers: "10.20.30.40:7300".parse()?,
        operations: "10.20.30.40:7301".parse()?,
        state: HostState::Live,
        kind: Some(HostKind::Engine),
        models: vec![fixtures::model(index % fixtures::MODELS)?],
        service: None,
    })
}

fn encoded_list(count: usize) -> eyre::Result<Vec<u8>> {
    let hosts = (0..count).map(host_record).collect::<eyre::Result<_>>()?;
    Ok(serde_json::to_vec(&HostsReply { hosts })?)
}

pub(crate) fn slopes() -> Vec<Slope> {
    let sizes = [240, 480, 960];
    let bytes = meter::count(&sizes, |count| {
        encoded_list(count).map_or(0, |bytes| bytes.len())
    });
    let decode_times = meter::time(
        &[24_000, 48_000, 96_000],
        |count| encoded_list(count).unwrap_or_default(),
        |bytes, _| {
            let _ = std::hint::black_box(serde_json::from_slice::<HostsReply>(&bytes));
        },
    );
    vec![
        Slope::fit("host list: line", Unit::Bytes, bytes),
        Slope::fit("host list: line read", Unit::Nanoseconds, decode_times),
    ]
}
