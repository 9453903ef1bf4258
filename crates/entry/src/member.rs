//! Agents known to the entry.

use std::net::SocketAddr;

use lentil_core::{EndpointId, ModelId, ServiceName, ZoneId};

/// An agent and what its endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    /// The endpoint that the agent manages.
    pub(crate) endpoint: EndpointId,
    /// Availability zone of the endpoint.
    pub(crate) zone: ZoneId,
    /// Address of the agent's listener for peers.
    pub(crate) peers: SocketAddr,
    /// Models served by the endpoint.
    pub(crate) models: Vec<ModelId>,
    /// The plain service that the endpoint is a replica of, if any.
    pub(crate) service: Option<ServiceName>,
    /// Whether the agent gets no new work because its host is leaving or was taken out of
    /// service.
    pub(crate) leaving: bool,
}

/// The model or service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Target {
    Model(ModelId),
    Service(ServiceName),
}

impl Member {
    /// Whether this endpoint serves `target`.
    pub(crate) fn serves(&self, target: &Target) -> bool {
        match target {
            Target::Model(model) => self.models.contains(model),
            Target::Service(service) => self.service.as_ref() == Some(service),
        }
    }
}
