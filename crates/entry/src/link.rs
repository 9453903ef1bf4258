//! Client type for agents.

use lentil_shell::PeerChannel;
use lentil_wire::v1::agent_client::AgentClient;

/// A gRPC client of one agent.
pub(crate) type AgentLink = AgentClient<PeerChannel>;
