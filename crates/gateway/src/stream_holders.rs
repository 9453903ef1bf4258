//! Records of streams at observers, which hold them while a gateway can't append them to the log.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use lentil_core::{ServiceName, Time};
use lentil_origin::{
    HOLDER_ANSWERS, HOLDERS, HOLDERS_ASKED, Holder, StreamKey, StreamRecord, rank_holders,
};
use lentil_rollout::Version;
use lentil_wire::v1;
use tonic::{Code, Status};

use crate::attempt::Job;
use crate::gateway::Gateway;

/// Longest wait for the answer of one holder.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which records are sent to their holders again while they are not in the log.
const HOLD_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of records for which this is done.
const UNWRITTEN_MAX: usize = 2_048;

/// What the holders of a stream know about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HeldVersion {
    /// One of them holds its record, with this version.
    Held(Option<Version>),
    /// Enough of them hold none.
    NotHeld,
    /// None of them has answered.
    Unanswered,
}

/// Why a received record is not one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("it is no record of a stream")]
pub(crate) struct InvalidStream;

impl From<InvalidStream> for Status {
    fn from(error: InvalidStream) -> Self {
        Self::invalid_argument(error.to_string())
    }
}

/// Parses the key of a stream from its wire form.
pub(crate) fn parse_key(bytes: &[u8]) -> Result<StreamKey, InvalidStream> {
    let bytes = bytes.try_into().map_err(|_| InvalidStream)?;
    Ok(StreamKey::from_bytes(bytes))
}

/// Parses a record from its wire form.
pub(crate) fn parse_record(origin: &v1::StreamOrigin) -> Result<StreamRecord, InvalidStream> {
    let version = origin.version.as_ref().map(|version| version.parse());
    Ok(StreamRecord {
        key: parse_key(&origin.key)?,
        version: version.transpose().map_err(|_| InvalidStream)?,
    })
}

/// Converts a record to its wire form.
pub(crate) fn to_wire(record: &StreamRecord) -> v1::StreamOrigin {
    v1::StreamOrigin {
        key: record.key.to_bytes().to_vec(),
        version: record.version.as_ref().map(ToString::to_string),
    }
}

/// A record of this gateway that is not in the log yet.
#[derive(Debug, Clone)]
pub(crate) struct UnwrittenRecord {
    pub(crate) service: ServiceName,
    pub(crate) record: StreamRecord,
    /// When the stream can no longer be taken up.
    pub(crate) expires_at: Time,
}

impl UnwrittenRecord {
    fn to_wire(&self, now: Time) -> v1::HeldStream {
        v1::HeldStream {
            origin: Some(to_wire(&self.record)),
            keep_ms: self.expires_at.since(now).as_ms(),
        }
    }
}

/// The records of this gateway that observers have been asked to hold.
#[derive(Debug, Default)]
pub(crate) struct UnwrittenRecords {
    records: RefCell<BTreeMap<StreamKey, UnwrittenRecord>>,
}

impl UnwrittenRecords {
    /// Has a record held until it is in the log. With too many, the record is not sent to further
    /// observers when its holders change.
    fn insert(&self, unwritten: UnwrittenRecord) {
        let mut records = self.records.borrow_mut();
        if records.len() < UNWRITTEN_MAX {
            records.insert(unwritten.record.key, unwritten);
        }
    }

    /// Drops records that are in the log.
    pub(crate) fn remove(&self, appended: &[StreamRecord]) {
        let mut records = self.records.borrow_mut();
        for record in appended {
            records.remove(&record.key);
        }
    }

    fn current(&self, now: Time) -> Vec<UnwrittenRecord> {
        let mut records = self.records.borrow_mut();
        records.retain(|_, it| !it.expires_at.has_passed(now));
        records.values().cloned().collect()
    }
}

/// Has observers hold this gateway's records again, until dropped: those that hold them may restart
/// or leave.
pub(crate) async fn run_holds(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(HOLD_INTERVAL).await;
        let now = gateway.now();
        let mut by_observer: BTreeMap<SocketAddr, Vec<v1::HeldStream>> = BTreeMap::new();
        for unwritten in gateway.origins.unwritten.current(now) {
            let holders = gateway.holders(&unwritten.service, &unwritten.record.key);
            for holder in holders.into_iter().take(HOLDERS) {
                let streams = by_observer.entry(holder.address).or_default();
                streams.push(unwritten.to_wire(now));
            }
        }
        let calls = by_observer.into_iter().map(|(observer, streams)| {
            let request = v1::HoldStreamsRequest { streams };
            gateway.hold_at(observer, request)
        });
        futures_util::future::join_all(calls).await;
    }
}

impl Gateway {
    /// The observers that may hold the record of a stream, in the order in which they are asked.
    fn holders(&self, service: &ServiceName, key: &StreamKey) -> Vec<Holder<SocketAddr>> {
        let fleet = self.fleet.borrow();
        let candidates = fleet.records(service).map(|record| Holder {
            endpoint: record.endpoint.clone(),
            version: record.version.clone(),
            address: self.observer_address(record.address),
        });
        let default = self.origins.last_default(service);
        rank_holders(key, default.as_ref(), candidates)
    }

    /// Has observers hold a record until it is in the log. Returns whether any of them does.
    pub(crate) async fn hold_record(self: &Rc<Self>, unwritten: UnwrittenRecord) -> bool {
        let request = v1::HoldStreamsRequest {
            streams: vec![unwritten.to_wire(self.now())],
        };
        let holders = self.holders(&unwritten.service, &unwritten.record.key);
        self.origins.unwritten.insert(unwritten);
        let mut holding = 0;
        for group in holders.chunks(HOLDERS) {
            // Calls go on in the background when enough holders have confirmed.
            let calls = group.iter().map(|holder| {
                let (gateway, request) = (Rc::clone(self), request.clone());
                let observer = holder.address;
                tokio::task::spawn_local(async move { gateway.hold_at(observer, request).await })
            });
            let mut calls: FuturesUnordered<_> = calls.collect();
            while holding < HOLDER_ANSWERS
                && let Some(call) = calls.next().await
            {
                holding += usize::from(call.unwrap_or(false));
            }
            if holding >= HOLDER_ANSWERS {
                break;
            }
        }
        holding > 0
    }

    /// Has one observer hold records. Returns whether it does.
    async fn hold_at(&self, observer: SocketAddr, request: v1::HoldStreamsRequest) -> bool {
        let call = self.observer_clients.call(observer, async |mut client| {
            client.hold_streams(request.clone()).await
        });
        let result = self.within_timeout(observer, call).await;
        if let Err(status) = &result {
            log::info!(observer:% = observer; "the observer does not hold versions of streams: {status}");
        }
        result.is_ok()
    }

    /// Asks the holders of a stream for its record.
    pub(crate) async fn find_held(&self, job: &Job) -> HeldVersion {
        let key = job.stream_key();
        let holders = self.holders(&job.service, &key);
        let key = key.to_bytes().to_vec();
        let mut answered = 0;
        for group in holders.chunks(HOLDERS_ASKED) {
            let calls = group.iter().map(|holder| {
                let key = key.clone();
                self.find_at(holder.address, v1::FindStreamRequest { key })
            });
            let mut calls: FuturesUnordered<_> = calls.collect();
            while let Some(found) = calls.next().await {
                match found {
                    HeldVersion::Held(_) => return found,
                    HeldVersion::NotHeld => answered += 1,
                    HeldVersion::Unanswered => {}
                }
            }
            if answered >= HOLDER_ANSWERS {
                break;
            }
        }
        if answered > 0 || holders.is_empty() {
            HeldVersion::NotHeld
        } else {
            HeldVersion::Unanswered
        }
    }

    /// Waits for the answer of an observer. One that does not come in time ends the connection, which
    /// may have become silent.
    async fn within_timeout<T>(
        &self,
        observer: SocketAddr,
        call: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T, Status> {
        let answered = tokio::time::timeout(HOLDER_TIMEOUT, call).await;
        let answered = answered.map_err(|_| {
            self.observer_clients.close(observer);
            Status::deadline_exceeded("no answer in time")
        })?;
        answered.map(tonic::Response::into_inner)
    }

    /// Asks one observer for a record. One that has ended, or that knows no such call, holds none.
    async fn find_at(&self, observer: SocketAddr, request: v1::FindStreamRequest) -> HeldVersion {
        let call = self.observer_clients.call(observer, async |mut client| {
            client.find_stream(request.clone()).await
        });
        let answered = self.within_timeout(observer, call).await;
        let found = answered.and_then(|reply| {
            let stream = reply.stream.as_ref().map(parse_record);
            Ok(stream.transpose()?)
        });
        match found {
            Ok(Some(record)) => HeldVersion::Held(record.version),
            Ok(None) => HeldVersion::NotHeld,
            Err(status) if is_refused(&status) || status.code() == Code::Unimplemented => {
                HeldVersion::NotHeld
            }
            Err(status) => {
                log::info!(observer:% = observer; "the observer was not asked for a stream's version: {status}");
                HeldVersion::Unanswered
            }
        }
    }
}

/// Whether nothing listens at the address that was called.
fn is_refused(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|it| it.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = error.source();
    }
    false
}
