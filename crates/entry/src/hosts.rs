//! What the host list and the configuration say of agents.

use lentil_control::ControlView;
use lentil_platform::{HostRecord, HostRole, HostState};
use lentil_shell::{BoundedSender, Readiness, SendError};

use crate::member::Member;
use crate::routing::Command;

/// Tells the routing thread of every change until one of both is gone.
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

/// An agent; one that operators have taken out gets no more work than one that leaves.
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
