//! Polls the platform's host list.

use std::sync::Arc;

use lentil_config::{Peer, SyncEvent};
use lentil_core::Span;
use lentil_platform::{HostList, HostRecord, HttpHostList};
use lentil_shell::{BoundedSender, Clock};
use tokio::sync::watch;

use crate::control::Input;
use crate::read_budget::ReadBudget;

/// Polls the host list until the control thread ends. The read budget makes full
/// reads of a long list less frequent.
pub(crate) async fn poll(
    list: HttpHostList,
    interval: Span,
    hosts: watch::Sender<Option<Arc<Vec<HostRecord>>>>,
    inputs: BoundedSender<Input>,
) {
    let clock = Clock::start();
    let mut budget = ReadBudget::new(clock.now());
    let mut host_count = 0;
    let mut failing = false;
    while !inputs.is_closed() {
        let whole_reads = list.full_read_count();
        match list.hosts().await {
            Ok(read) => {
                if std::mem::take(&mut failing) {
                    log::info!("the host list can be read again");
                }
                host_count = u64::try_from(read.len()).unwrap_or(u64::MAX);
                let peers = read.iter().filter_map(peer).collect();
                send_if_changed(&hosts, read);
                let _ = inputs.try_send(Input::Event(SyncEvent::LiveProcesses(peers)));
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!("reading the host list: {error}");
                }
            }
        }
        let now = clock.now();
        if list.full_read_count() > whole_reads {
            budget.record_full_read(now, host_count);
        }
        let next_read_at = budget.next_read_at(now, interval, host_count);
        tokio::time::sleep(next_read_at.since(now).into()).await;
    }
}

/// Sends the list to the receivers if it differs from the last one.
fn send_if_changed(hosts: &watch::Sender<Option<Arc<Vec<HostRecord>>>>, read: Vec<HostRecord>) {
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
