//! Reading the platform's host list.

use std::sync::Arc;

use lentil_config::{Event, Peer};
use lentil_core::Span;
use lentil_platform::{HostList, HostRecord, HttpHostList};
use lentil_shell::{Clock, Outbox};
use tokio::sync::watch;

use crate::control::Input;
use crate::read_budget::ReadBudget;

/// Reads the list until the duty is gone; a long list is read whole less often.
pub(crate) async fn run(
    list: HttpHostList,
    interval: Span,
    hosts: watch::Sender<Option<Arc<Vec<HostRecord>>>>,
    inputs: Outbox<Input>,
) {
    let clock = Clock::start();
    let mut budget = ReadBudget::new(clock.now());
    let mut count = 0;
    while !inputs.is_closed() {
        let whole_reads = list.full_read_count();
        if let Ok(read) = list.hosts().await {
            count = u64::try_from(read.len()).unwrap_or(u64::MAX);
            let peers = read.iter().filter_map(peer).collect();
            publish(&hosts, read);
            let _ = inputs.offer(Input::Event(Event::Live(peers)));
        }
        let now = clock.now();
        if list.full_read_count() > whole_reads {
            budget.spend(now, count);
        }
        let next = budget.next(now, interval, count);
        tokio::time::sleep(next.since(now).into()).await;
    }
}

/// Shows a list that differs from the one shown.
fn publish(hosts: &watch::Sender<Option<Arc<Vec<HostRecord>>>>, read: Vec<HostRecord>) {
    hosts.send_if_modified(|known| {
        let changed = known.as_deref() != Some(&read);
        if changed {
            *known = Some(Arc::new(read));
        }
        changed
    });
}

fn peer(host: &HostRecord) -> Option<Peer> {
    Some(Peer {
        name: host.process.as_str().parse().ok()?,
        zone: host.zone.clone(),
        region: host.region.clone(),
        address: host.peers.to_string(),
    })
}
