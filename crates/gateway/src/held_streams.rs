//! The records of streams that an observer holds for gateways.

use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lentil_core::Span;
use lentil_origin::{HeldRecords, StreamRecord};
use lentil_shell::BootClock;
use lentil_wire::v1;
use tokio::sync::Notify;
use tonic::Status;

use crate::metrics::ObserverMetrics;
use crate::origin_log::OriginLog;
use crate::stream_holders::{InvalidStream, parse_key, parse_record, to_wire};

/// Longest time for which a gateway may have a record held.
const KEEP_MAX: Span = Span::from_s(3_600);
/// Delay before records are appended, so that those of one moment are appended together.
const APPEND_DELAY: Duration = Duration::from_millis(100);
/// Interval at which records are dropped whose streams can no longer be taken up.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Longest delay before an append that failed is repeated.
const APPEND_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// The records that are held, shared by the thread that serves gateways and the one that appends
/// them.
#[derive(Debug, Clone)]
pub(crate) struct HeldStreams {
    clock: BootClock,
    metrics: ObserverMetrics,
    records: Arc<Mutex<HeldRecords>>,
    appends_due: Arc<Notify>,
}

impl HeldStreams {
    pub(crate) fn new(clock: BootClock, metrics: ObserverMetrics) -> Self {
        Self {
            clock,
            metrics,
            records: Arc::default(),
            appends_due: Arc::default(),
        }
    }

    fn records(&self) -> MutexGuard<'_, HeldRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Holds records for a gateway.
    pub(crate) fn hold(
        &self,
        request: &v1::HoldStreamsRequest,
    ) -> Result<v1::HoldStreamsReply, Status> {
        let now = self.clock.now();
        for stream in &request.streams {
            let record = parse_record(stream.origin.as_ref().ok_or(InvalidStream)?)?;
            let expires_at = now + Span::from_ms(stream.keep_ms).min(KEEP_MAX);
            let held = self.records().hold(now, record, expires_at);
            held.map_err(|error| Status::resource_exhausted(error.to_string()))?;
        }
        self.count();
        self.appends_due.notify_one();
        Ok(v1::HoldStreamsReply {})
    }

    fn count(&self) {
        let held = i64::try_from(self.records().len()).unwrap_or(i64::MAX);
        self.metrics.held_streams.set(held);
    }

    /// Looks up the record of a stream for a gateway.
    pub(crate) fn find(
        &self,
        request: &v1::FindStreamRequest,
    ) -> Result<v1::FindStreamReply, Status> {
        let key = parse_key(&request.key)?;
        let mut records = self.records();
        let version = records.get(self.clock.now(), &key).cloned();
        let stream = version.map(|version| to_wire(&StreamRecord { key, version }));
        Ok(v1::FindStreamReply { stream })
    }

    /// Appends records to the log for ever.
    pub(crate) async fn run(self, log: Rc<dyn OriginLog>) {
        let mut delay = APPEND_DELAY;
        let mut failing = false;
        loop {
            let batch = self.records().next_append(self.clock.now());
            self.count();
            if batch.is_empty() {
                let due = self.appends_due.notified();
                if tokio::time::timeout(EXPIRY_INTERVAL, due).await.is_ok() {
                    tokio::time::sleep(APPEND_DELAY).await;
                }
                continue;
            }
            match log.append_records(&batch).await {
                Ok(()) => {
                    self.records().record_appended(batch.len());
                    log::info!(records = batch.len(); "appended the versions of streams for gateways");
                    delay = APPEND_DELAY;
                    failing = false;
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!(records = batch.len(); "the versions of streams are held, but not appended: {error}");
                    }
                    delay = (delay * 2).min(APPEND_DELAY_MAX);
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }
}
