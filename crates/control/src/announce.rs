//! Announces a process in the platform's host list.

use lentil_platform::{ClientOptions, HostList, HostRecord, HostState, HttpHostList};
use lentil_settings::Platform;
use tokio::sync::watch;

/// Announces `record` at every poll interval until `stopping` becomes true, then
/// announces that the process is leaving.
pub async fn announce(
    settings: Platform,
    mut record: HostRecord,
    mut stopping: watch::Receiver<bool>,
) {
    let options = ClientOptions {
        base_url: settings.host_list_url,
        timeout: settings.timeout,
    };
    let list = match HttpHostList::new(&options).await {
        Ok(list) => list,
        Err(error) => {
            log::error!(
                "failed to create the host list client; this process is not announced: {error}"
            );
            return;
        }
    };
    while !*stopping.borrow() {
        let _ = list.announce(&record).await;
        let _ = tokio::time::timeout(settings.poll_interval.into(), stopping.changed()).await;
    }
    record.state = HostState::Leaving;
    let _ = list.announce(&record).await;
}
