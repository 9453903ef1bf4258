//! Links to agents.

use lentil_shell::PeerChannel;
use lentil_wire::v1::agent_client::AgentClient;

/// A client of one agent.
pub(crate) type AgentLink = AgentClient<PeerChannel>;
