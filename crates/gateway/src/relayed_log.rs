//! Reading the platform's log through the relays of observers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lentil_core::{Offset, Span, StoreEra, Time};
use lentil_feed::{
    ConfirmationOffset, KeyedRecord, LogTopic, Position, ReadSource, RecordPage, RelayTiming,
    SourceChooser,
};
use lentil_fleet::EntryCounter;
use lentil_shell::BootClock;
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tonic::transport::{Channel, Endpoint};

use crate::LocalFuture;
use crate::store_feed::{RecordLog, StoreError};

/// Longest wait for a connection to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The relays and the number of gateways, as known to the control thread.
#[derive(Debug, Default)]
pub struct RelayDirectory {
    relays: RefCell<Vec<SocketAddr>>,
    gateways: RefCell<EntryCounter>,
}

impl RelayDirectory {
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.relays.replace(relays);
    }

    /// Records how many gateways follow an observer.
    pub(crate) fn record_gateways(&self, now: Time, gateways: u32) {
        self.gateways.borrow_mut().record(now, gateways);
    }

    /// The number of gateways; 0 while it is unknown.
    pub(crate) fn gateway_count(&self, now: Time) -> u32 {
        self.gateways.borrow().get(now).unwrap_or(0)
    }
}

/// Reads each topic at a relay or at the log itself, as [`SourceChooser`] decides.
pub struct RelayedLog {
    log: Box<dyn RecordLog>,
    directory: Rc<RelayDirectory>,
    clock: BootClock,
    chooser: RefCell<SourceChooser>,
    last_source: Cell<ReadSource>,
    /// The latest era that was read, which relays of the previous build are taken to have read.
    era: Cell<StoreEra>,
    clients: RefCell<HashMap<SocketAddr, ObserverClient<Channel>>>,
}

impl RelayedLog {
    /// Creates a reader. Up to `direct_readers_max` gateways read the log themselves;
    /// `trust` is the time for which a confirmation by the log is valid.
    #[must_use]
    pub fn new(
        log: Box<dyn RecordLog>,
        directory: Rc<RelayDirectory>,
        clock: BootClock,
        (direct_readers_max, trust): (u32, Span),
    ) -> Self {
        Self {
            log,
            directory,
            clock,
            chooser: RefCell::new(SourceChooser::new(direct_readers_max, trust)),
            last_source: Cell::new(ReadSource::Log),
            era: Cell::default(),
            clients: RefCell::default(),
        }
    }

    fn choose(&self) -> ReadSource {
        let mut chooser = self.chooser.borrow_mut();
        let relays = self.directory.relays.borrow();
        let now = self.clock.now();
        let gateways = self.directory.gateway_count(now);
        chooser.update(gateways, &relays);
        let source = chooser.choose(now);
        if self.last_source.replace(source) != source {
            log::info!(source:% = source, gateways = gateways; "source of the log changed");
            self.clients
                .borrow_mut()
                .retain(|relay, _| relays.contains(relay));
        }
        source
    }

    async fn read_any(
        &self,
        topic: LogTopic,
        from: Option<Position>,
        wait: Duration,
    ) -> Result<RecordPage, StoreError> {
        let source = self.choose();
        let mut old_page = None;
        if let ReadSource::Relay(relay) = source {
            let read = self.read_relay(relay, topic, from).await;
            let now = self.clock.now();
            let mut chooser = self.chooser.borrow_mut();
            let error = match read {
                Ok(page) => {
                    let confirmed_at = page.confirmed_at.unwrap_or(Time::ZERO);
                    if chooser.is_recent(topic, now, confirmed_at) {
                        chooser.record(now, source, true);
                        return Ok(page);
                    }
                    old_page = chooser.is_usable(now, confirmed_at).then_some(page);
                    let age_ms = now.since(confirmed_at).as_ms();
                    StoreError::RelayFailed(format!("its copy was confirmed {age_ms} ms ago"))
                }
                Err(error) => error,
            };
            chooser.record(now, source, false);
            self.clients.borrow_mut().remove(&relay);
            log::info!(relay:% = relay, topic:? = topic; "reading the log instead of the relay: {error}");
        }
        // A relay may already have waited for new records.
        let wait = if source == ReadSource::Log {
            wait
        } else {
            Duration::ZERO
        };
        let asked_at = self.clock.now();
        let read = self.log.read(topic, from, wait).await;
        let now = self.clock.now();
        let mut chooser = self.chooser.borrow_mut();
        chooser.record(now, ReadSource::Log, read.is_ok());
        if read.is_ok() && wait.is_zero() {
            chooser.record_response_time(now, now.since(asked_at));
        }
        match (read, old_page) {
            (Err(error), Some(page)) => {
                log::info!(topic:? = topic; "using the relay's copy, as the log failed: {error}");
                Ok(page)
            }
            (read, _) => read,
        }
    }

    fn client(&self, relay: SocketAddr) -> Result<ObserverClient<Channel>, StoreError> {
        if let Some(client) = self.clients.borrow().get(&relay) {
            return Ok(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{relay}"))
            .map_err(|error| StoreError::RelayFailed(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let client = ObserverClient::new(endpoint.connect_lazy());
        self.clients.borrow_mut().insert(relay, client.clone());
        Ok(client)
    }

    async fn read_relay(
        &self,
        relay: SocketAddr,
        topic: LogTopic,
        from: Option<Position>,
    ) -> Result<RecordPage, StoreError> {
        let mut client = self.client(relay)?;
        let timing = RelayTiming::of(topic);
        let request = v1::ReadLogRequest {
            topic: wire_topic(topic).into(),
            from_offset: from.map(|from| from.offset.get()),
            from_era: from.map(|from| from.era.get()),
            wait_ms: timing.wait.as_ms(),
            confirmed_within_ms: timing.confirmed_within.as_ms(),
        };
        let requested_at = self.clock.now();
        let timeout = Duration::from(timing.wait) + Duration::from(timing.response_timeout);
        let reply = tokio::time::timeout(timeout, client.read_log(request)).await;
        let now = self.clock.now();
        let reply = reply
            .map_err(|_| StoreError::RelayFailed("the response timed out".into()))?
            .map_err(|status| StoreError::RelayFailed(status.to_string()))?
            .into_inner();
        page_from_wire(reply, from, self.era.get(), (requested_at, now))
    }
}

impl std::fmt::Debug for RelayedLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RelayedLog(..)")
    }
}

impl RecordLog for RelayedLog {
    fn read(
        &self,
        topic: LogTopic,
        from: Option<Position>,
        wait: Duration,
    ) -> LocalFuture<'_, Result<RecordPage, StoreError>> {
        Box::pin(async move {
            let page = self.read_any(topic, from, wait).await?;
            self.era.set(self.era.get().max(page.next.era));
            Ok(page)
        })
    }

    fn is_shared(&self) -> bool {
        self.chooser.borrow().uses_relays()
    }
}

const fn wire_topic(topic: LogTopic) -> v1::LogTopic {
    match topic {
        LogTopic::Operators => v1::LogTopic::Operators,
        LogTopic::Endpoints => v1::LogTopic::Endpoints,
        LogTopic::DefaultVersions => v1::LogTopic::DefaultVersions,
    }
}

/// Converts a relay's reply. Nothing is adopted from a relay that is behind the reader
/// or whose clock can't be right. A relay that states no era is taken to have read `known_era`.
fn page_from_wire(
    reply: v1::ReadLogReply,
    from: Option<Position>,
    known_era: StoreEra,
    (requested_at, now): (Time, Time),
) -> Result<RecordPage, StoreError> {
    let era = reply.era.map_or(known_era, StoreEra::new);
    let next = Position::new(era, Offset::new(reply.next_offset));
    if from.is_some_and(|from| next < from) {
        return Err(StoreError::RelayFailed(format!(
            "its copy ends at offset {next}"
        )));
    }
    if from.is_some_and(|from| era > from.era) && !reply.is_snapshot {
        return Err(StoreError::RelayFailed(format!(
            "its records of era {era} do not hold the newest of each key"
        )));
    }
    let confirmed_at = ConfirmationOffset::from_us(reply.confirmed_after_us)
        .resolve(requested_at, now)
        .map_err(|error| StoreError::RelayFailed(error.to_string()))?;
    let log_failed_at = reply
        .log_failed_ago_ms
        .map(|ago_ms| now - Span::from_ms(ago_ms));
    let records = reply.records.into_iter().map(|record| KeyedRecord {
        offset: Offset::new(record.offset),
        key: record.key,
        value: record.value.map(Bytes::from),
    });
    Ok(RecordPage {
        records: records.collect(),
        next,
        is_snapshot: reply.is_snapshot,
        confirmed_at: Some(confirmed_at),
        log_failed_at,
    })
}
