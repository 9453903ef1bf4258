//! Forwards changes of the host list and the configuration to the routing thread.

use lentil_control::ControlView;
use lentil_platform::{HostRecord, HostRole, HostState};
use lentil_shell::{BoundedSender, Readiness, SendError};

use crate::member::Member;
use crate::routing::Command;

/// Sends the current agents to the routing thread after every change, until the control
/// view or the routing thread ends.
///
/// The entry becomes ready once a host list has been received.
pub(crate) async fn run(
    mut view: ControlView,
    routing: BoundedSender<Command>,
    readiness: Readiness,
) {
    while view.changed().await {
        let hosts = view.hosts();
        let members = hosts.iter().filter_map(|host| member(&view, host));
        if routing.try_send(Command::Members(members.collect())) == Err(SendError::Closed) {
            return;
        }
        if view.has_host_list() {
            readiness.set_ready();
        }
    }
}

/// Returns the member record of an agent, or `None` for other roles.
///
/// An agent that operators have taken out of service is treated as leaving.
fn member(view: &ControlView, host: &HostRecord) -> Option<Member> {
    let is_out = !view.permits(&host.zone, &host.process);
    (host.role == HostRole::Agent).then(|| Member {
        endpoint: host.process.clone(),
        zone: host.zone.clone(),
        peers: host.peers,
        models: host.models.clone(),
        service: host.service.clone(),
        leaving: is_out || host.state == HostState::Leaving,
    })
}
