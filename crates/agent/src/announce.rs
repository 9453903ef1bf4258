//! The agent's descriptions in the host list and for its peers.

use std::net::SocketAddr;
use std::str::FromStr;

use lentil_config::Peer;
use lentil_core::ParseIdError;
use lentil_platform::{HostKind, HostRecord, HostRole, HostState};
use lentil_settings::{AgentSettings, EndpointKind, Settings};

use crate::error::AgentError;

pub(crate) fn id<T: FromStr<Err = ParseIdError>>(
    field: &'static str,
    text: &str,
) -> Result<T, AgentError> {
    text.parse()
        .map_err(|source| AgentError::Id { field, source })
}

/// Creates the agent's record in the host list.
pub(crate) fn record(
    settings: &Settings,
    section: &AgentSettings,
    peers: SocketAddr,
    operations: SocketAddr,
) -> Result<HostRecord, AgentError> {
    let kind = match section.kind {
        EndpointKind::Engine => HostKind::Engine,
        EndpointKind::Service => HostKind::Service,
    };
    Ok(HostRecord {
        process: id("name", &settings.name)?,
        role: HostRole::Agent,
        host: id("host", &settings.host)?,
        zone: id("zone", &settings.zone)?,
        region: id("region", &settings.region)?,
        peers,
        operations,
        state: HostState::Live,
        kind: Some(kind),
        models: section
            .models
            .iter()
            .map(|model| id("agent.models", model))
            .collect::<Result<_, _>>()?,
        service: section
            .service
            .as_deref()
            .map(|service| id("agent.service", service))
            .transpose()?,
    })
}

/// Creates the agent's peer description, under which others exchange
/// configuration with it.
pub(crate) fn peer(settings: &Settings, peers: SocketAddr) -> Result<Peer, AgentError> {
    Ok(Peer {
        name: id("name", &settings.name)?,
        zone: id("zone", &settings.zone)?,
        region: id("region", &settings.region)?,
        address: peers.to_string(),
    })
}
