//! Records of streams at observers, which hold them while a gateway can't append them to the log.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use lentil_core::Span;
use lentil_origin::{HOLDER_ANSWERS, HOLDERS, Holder, StreamKey, StreamRecord, rank_holders};
use lentil_rollout::Version;
use lentil_wire::v1;
use tonic::{Code, Status};

use crate::attempt::Job;
use crate::gateway::Gateway;

/// Longest wait for the answer of one holder.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(200);

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

impl Gateway {
    /// The holders of a stream's record, in the order in which they are asked.
    fn holders(&self, job: &Job) -> Vec<Holder<SocketAddr>> {
        let fleet = self.fleet.borrow();
        let candidates = fleet.records(&job.service).map(|record| Holder {
            endpoint: record.endpoint.clone(),
            version: record.version.clone(),
            address: self.observer_address(record.address),
        });
        let default = self.origins.last_default(&job.service);
        rank_holders(&job.stream_key(), default.as_ref(), candidates)
    }

    /// Has observers hold the record of a stream for a time. Returns whether any of them does.
    pub(crate) async fn hold_record(
        self: &Rc<Self>,
        job: &Job,
        record: &StreamRecord,
        keep: Span,
    ) -> bool {
        let request = v1::HoldStreamRequest {
            stream: Some(to_wire(record)),
            keep_ms: keep.as_ms(),
        };
        let mut held = 0;
        for group in self.holders(job).chunks(HOLDERS) {
            // Calls go on in the background when enough holders have confirmed.
            let mut calls: FuturesUnordered<_> = group
                .iter()
                .map(|holder| {
                    let (gateway, request) = (Rc::clone(self), request.clone());
                    let observer = holder.address;
                    tokio::task::spawn_local(
                        async move { gateway.hold_at(observer, request).await },
                    )
                })
                .collect();
            while held < HOLDER_ANSWERS
                && let Some(call) = calls.next().await
            {
                held += usize::from(call.unwrap_or(false));
            }
            if held >= HOLDER_ANSWERS {
                break;
            }
        }
        held > 0
    }

    /// Has one observer hold a record. Returns whether it does.
    async fn hold_at(&self, observer: SocketAddr, request: v1::HoldStreamRequest) -> bool {
        let call = self.observer_clients.call(observer, async |mut client| {
            client.hold_stream(request.clone()).await
        });
        let result = within_timeout(call).await;
        if let Err(status) = &result {
            log::info!(observer:% = observer; "the observer does not hold a stream's version: {status}");
        }
        result.is_ok()
    }

    /// Asks the holders of a stream for its record.
    pub(crate) async fn find_held(&self, job: &Job) -> HeldVersion {
        let key = job.stream_key().to_bytes().to_vec();
        let holders = self.holders(job);
        let mut answered = 0;
        for group in holders.chunks(HOLDERS) {
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

    /// Asks one observer for a record. One that has ended, or that knows no such call, holds none.
    async fn find_at(&self, observer: SocketAddr, request: v1::FindStreamRequest) -> HeldVersion {
        let call = self.observer_clients.call(observer, async |mut client| {
            client.find_stream(request.clone()).await
        });
        let found = within_timeout(call).await.and_then(|reply| {
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

async fn within_timeout<T>(
    call: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T, Status> {
    let answered = tokio::time::timeout(HOLDER_TIMEOUT, call).await;
    let answered = answered.map_err(|_| Status::deadline_exceeded("no answer in time"))?;
    answered.map(tonic::Response::into_inner)
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
