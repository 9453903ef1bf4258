//! The entry's listener for peers and the records that describe the entry to them.

use std::net::{SocketAddr, TcpListener};

use lentil_config::Peer;
use lentil_core::ParseIdError;
use lentil_platform::{HostRecord, HostRole, HostState};
use lentil_settings::Settings;

use crate::error::EntryError;

/// Binds the listener for peers.
pub(crate) fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), EntryError> {
    let failed = |source| EntryError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Builds the peer record of this entry.
pub(crate) fn peer(settings: &Settings, peers: SocketAddr) -> Result<Peer, EntryError> {
    Ok(Peer {
        name: settings.name.parse().map_err(invalid_id("name"))?,
        zone: settings.zone.parse().map_err(invalid_id("zone"))?,
        region: settings.region.parse().map_err(invalid_id("region"))?,
        address: peers.to_string(),
    })
}

/// Builds the record that the entry publishes in the host list.
pub(crate) fn record(
    settings: &Settings,
    peers: SocketAddr,
    operations: SocketAddr,
) -> Result<HostRecord, EntryError> {
    Ok(HostRecord {
        process: settings.name.parse().map_err(invalid_id("name"))?,
        role: HostRole::Entry,
        host: settings.host.parse().map_err(invalid_id("host"))?,
        zone: settings.zone.parse().map_err(invalid_id("zone"))?,
        region: settings.region.parse().map_err(invalid_id("region"))?,
        peers,
        operations,
        state: HostState::Live,
        kind: None,
        models: Vec::new(),
        service: None,
    })
}

fn invalid_id(field: &'static str) -> impl Fn(ParseIdError) -> EntryError {
    move |source| EntryError::InvalidId { field, source }
}
