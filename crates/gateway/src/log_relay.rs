//! The relay in an observer: a copy of the platform's log for nearby gateways.

use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lentil_core::{Offset, Span, StoreEra, Time};
use lentil_feed::{
    CacheError, ConfirmationOffset, LogTopic, Position, RELAY_ENDPOINTS_PAUSE, RELAY_LOG_WAIT,
    RELAY_RESTORED_WAIT, RESTORE_TIME, RecordPage, RelayTiming, TopicCache,
};
use lentil_shell::BootClock;
use lentil_wire::v1;
use tokio::sync::{Notify, watch};
use tonic::Status;

use crate::store_feed::RecordLog;

/// How long the log is polled after the last request of a gateway.
const IDLE_TIMEOUT: Span = Span::from_ms(3_000);
/// Delay before the first retry after the log failed.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
/// Longest delay between retries while the log fails.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// Age from which on a copy is not returned without waiting, even if it has records
/// that are new to the gateway, for topics whose readers accept any age.
const COPY_AGE_MAX: Span = Span::from_ms(1_500);
/// Longest wait that a gateway may ask for.
const WAIT_MAX: Duration = Duration::from_millis(5_000);

/// The copy of one topic, shared by the thread that reads the log and the one that
/// serves gateways.
struct TopicCopy {
    topic: LogTopic,
    state: Mutex<CopyState>,
    /// Wakes the task that reads the log.
    demand: Notify,
    /// Changes with every read of the log.
    reads: watch::Sender<u64>,
}

struct CopyState {
    cache: TopicCache,
    wanted_until: Time,
    /// Until when readers wait for confirmations of what was written again, after the store has come
    /// back from an older copy.
    restored_until: Time,
}

impl TopicCopy {
    fn new(topic: LogTopic) -> Arc<Self> {
        Arc::new(Self {
            topic,
            state: Mutex::new(CopyState {
                cache: TopicCache::new(topic),
                wanted_until: Time::ZERO,
                restored_until: Time::ZERO,
            }),
            demand: Notify::new(),
            reads: watch::Sender::new(0),
        })
    }

    fn state(&self) -> MutexGuard<'_, CopyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The copies of all topics.
#[derive(Clone)]
pub(crate) struct LogRelay {
    clock: BootClock,
    operators: Arc<TopicCopy>,
    endpoints: Arc<TopicCopy>,
    default_versions: Arc<TopicCopy>,
}

impl LogRelay {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            operators: TopicCopy::new(LogTopic::Operators),
            endpoints: TopicCopy::new(LogTopic::Endpoints),
            default_versions: TopicCopy::new(LogTopic::DefaultVersions),
        }
    }

    /// Reads the log for ever, as long as gateways want it.
    pub(crate) async fn run(self, log: Rc<dyn RecordLog>) {
        tokio::join!(
            self.read_topic(&self.operators, &*log),
            self.read_topic(&self.endpoints, &*log),
            self.read_topic(&self.default_versions, &*log),
        );
    }

    async fn read_topic(&self, copy: &TopicCopy, log: &dyn RecordLog) {
        let mut retry_delay = RETRY_DELAY_MIN;
        let mut failing = false;
        loop {
            let is_wanted = !copy.state().wanted_until.has_passed(self.clock.now());
            if !is_wanted {
                copy.demand.notified().await;
            }
            let asked_at = self.clock.now();
            let (from, is_restoring) = {
                let state = copy.state();
                let is_restoring = !state.restored_until.has_passed(asked_at);
                (state.cache.next(), is_restoring)
            };
            let wait = match copy.topic {
                LogTopic::Operators | LogTopic::DefaultVersions if from.is_some() && !failing => {
                    if is_restoring {
                        RELAY_RESTORED_WAIT.into()
                    } else {
                        RELAY_LOG_WAIT.into()
                    }
                }
                LogTopic::Operators | LogTopic::DefaultVersions | LogTopic::Endpoints => {
                    Duration::ZERO
                }
            };
            let read = log.read(copy.topic, from, wait).await;
            let now = self.clock.now();
            let applied = read
                .map_err(|error| error.to_string())
                .and_then(|page| Self::apply(copy, now, page));
            copy.reads.send_modify(|reads| *reads += 1);
            match applied {
                Ok(is_complete) => {
                    if std::mem::take(&mut failing) {
                        log::info!(topic:? = copy.topic; "the store is reachable again");
                    }
                    retry_delay = RETRY_DELAY_MIN;
                    if copy.topic == LogTopic::Endpoints && is_complete {
                        tokio::time::sleep(RELAY_ENDPOINTS_PAUSE.into()).await;
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!(topic:? = copy.topic; "reading the store for gateways: {error}");
                    }
                    copy.state().cache.record_log_failure(asked_at);
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
    }

    /// Returns whether the copy has caught up with the log.
    fn apply(copy: &TopicCopy, now: Time, page: RecordPage) -> Result<bool, String> {
        let is_complete = page.confirmed_at.is_some();
        let mut state = copy.state();
        let known = state.cache.next();
        if known.is_some_and(|known| page.next.era > known.era) {
            state.restored_until = now + RESTORE_TIME.times(2);
        }
        state.cache.apply(page).map_err(|error| error.to_string())?;
        Ok(is_complete)
    }

    /// Answers a gateway from the copy. Waits for new records, a newer confirmation or
    /// the end of the wait, whichever is first.
    pub(crate) async fn serve(
        &self,
        request: v1::ReadLogRequest,
    ) -> Result<v1::ReadLogReply, Status> {
        let copy = match v1::LogTopic::try_from(request.topic) {
            Ok(v1::LogTopic::Operators) => &self.operators,
            Ok(v1::LogTopic::Endpoints) => &self.endpoints,
            Ok(v1::LogTopic::DefaultVersions) => &self.default_versions,
            Ok(v1::LogTopic::Unspecified) | Err(_) => {
                return Err(Status::invalid_argument("unknown topic"));
            }
        };
        let received_at = self.clock.now();
        let recent_from = received_at - Span::from_ms(request.confirmed_within_ms);
        let from = request.from_offset.map(|offset| {
            // A gateway that states no era reads on at the era of the copy, as before.
            let copied = copy.state().cache.next().unwrap_or_default().era;
            let era = request.from_era.map_or(copied, StoreEra::new);
            Position::new(era, Offset::new(offset))
        });
        let wait = Duration::from_millis(request.wait_ms).min(WAIT_MAX);
        let wait_ends = tokio::time::Instant::now() + wait;
        let mut reads = copy.reads.subscribe();
        let known_confirmation = {
            let mut state = copy.state();
            state.wanted_until = received_at + IDLE_TIMEOUT;
            state.cache.confirmed_at()
        };
        copy.demand.notify_one();
        loop {
            let read = copy.state().cache.read(from);
            let waits = match &read {
                Ok(page) if page.confirmed_at > Some(known_confirmation) => false,
                Ok(page) if page.confirmed_at >= Some(recent_from) => false,
                // Readers don't accept a copy that is too old, as that of a relay that was idle.
                Ok(page) => {
                    let age_max = RelayTiming::of(copy.topic).age_max.unwrap_or(COPY_AGE_MAX);
                    let is_old = |at: Time| (at + age_max).has_passed(received_at);
                    page.records.is_empty() || page.confirmed_at.is_none_or(is_old)
                }
                Err(CacheError::NotLoaded | CacheError::Behind { .. }) => true,
                Err(CacheError::Older { .. } | CacheError::OtherEra { .. }) => false,
            };
            if !waits {
                return self.reply(read, received_at);
            }
            if tokio::time::timeout_at(wait_ends, reads.changed())
                .await
                .is_err()
            {
                return self.reply(read, received_at);
            }
        }
    }

    fn reply(
        &self,
        read: Result<RecordPage, CacheError>,
        received_at: Time,
    ) -> Result<v1::ReadLogReply, Status> {
        let page = read.map_err(|error| match error {
            CacheError::NotLoaded => Status::unavailable(error.to_string()),
            CacheError::Behind { .. } | CacheError::Older { .. } | CacheError::OtherEra { .. } => {
                Status::out_of_range(error.to_string())
            }
        })?;
        let now = self.clock.now();
        let confirmed_at = page.confirmed_at.unwrap_or(Time::ZERO);
        let offset = ConfirmationOffset::between(received_at, confirmed_at);
        let records = page.records.into_iter().map(|record| v1::LogRecord {
            offset: record.offset.get(),
            key: record.key,
            value: record.value.map(Into::into),
        });
        Ok(v1::ReadLogReply {
            records: records.collect(),
            next_offset: page.next.offset.get(),
            era: Some(page.next.era.get()),
            is_snapshot: page.is_snapshot,
            confirmed_after_us: offset.as_us(),
            log_failed_ago_ms: page.log_failed_at.map(|at| now.since(at).as_ms()),
        })
    }
}
