//! JSON messages of the platform's services.

use std::net::SocketAddr;

use lentil_core::{EndpointId, HostId, ModelId, RegionId, ServiceName, ZoneId};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// One record of an [`AppendRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireAppendRecord {
    /// Identifier chosen by the writer.
    pub id: String,
    /// Base64-encoded content.
    pub body: String,
}

/// Body of `POST /streams/{stream}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records to append at consecutive offsets, in order.
    pub records: Vec<WireAppendRecord>,
}

/// Response to an [`AppendRequest`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub first_offset: u64,
}

/// One record of a [`ReadReply`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireReadRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Identifier chosen by the writer.
    pub id: String,
    /// Base64-encoded content.
    pub body: String,
}

/// Response to `GET /streams/{stream}/records`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// Records in order of their offsets.
    pub records: Vec<WireReadRecord>,
    /// The offset to read from next.
    pub next: u64,
    /// The oldest retained offset.
    pub oldest: u64,
}

/// Whether a host may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host may get new work.
    Live,
    /// The host only finishes its running work.
    Leaving,
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// Serves callers.
    Entry,
    /// Runs next to an endpoint.
    Agent,
}

/// The kind of the endpoint that an agent runs next to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// One process in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the process; for an agent, the name of its endpoint.
    pub process: EndpointId,
    /// Role of the process.
    pub role: HostRole,
    /// Host that it runs on.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Address for connections from other processes of the system.
    pub peers: SocketAddr,
    /// Address for operators' connections.
    pub operations: SocketAddr,
    /// Whether the host may get new work.
    pub state: HostState,
    /// Kind of the endpoint, for an agent.
    #[serde(default)]
    pub kind: Option<HostKind>,
    /// Models that its engine serves.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// The plain service that its endpoint is a replica of.
    #[serde(default)]
    pub service: Option<ServiceName>,
}

/// Response to `GET /hosts`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostsReply {
    /// Processes that are live or leaving, without records that can't be decoded.
    #[serde(deserialize_with = "decodable_records")]
    pub hosts: Vec<HostRecord>,
}

/// Decodes each record by itself: one that another writer left must not hide the others.
fn decodable_records<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<HostRecord>, D::Error> {
    let texts = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let decode = |text: &RawValue| {
        serde_json::from_str(text.get())
            .inspect_err(|error| log::warn!("skipped a record of the host list: {error}"))
            .ok()
    };
    Ok(texts.iter().filter_map(|text| decode(text)).collect())
}
