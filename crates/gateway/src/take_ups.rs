//! Finding the version at which a stream began that a request takes up.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};
use lentil_core::{NotRunProof, Refusal, RefusalReason, Span};
use lentil_origin::Lookup;
use lentil_rollout::Version;

use crate::attempt::Job;
use crate::gateway::{Gateway, RETRY_AFTER_STORE_FAILURE};
use crate::stream_holders::HeldVersion;

/// Longest time for which a request that takes a stream up waits for the log.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after such a wait for which others do not wait, if the list of endpoints is not confirmed
/// either.
const UNREADABLE_TIME: Span = Span::from_ms(1_000);
/// Delay before the log is read again for a request, after a read that failed or did not suffice.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The result of a look-up that has read nothing.
const UNREAD: Lookup = Lookup::Unread {
    default: true,
    records: true,
};

impl Gateway {
    /// Returns the version at which the stream began that a request takes up.
    pub(crate) async fn find_origin(&self, job: &Job) -> Result<Option<Version>, Refusal> {
        let (lookup, source) = self.look_up_origin(job).await;
        let (result, found) = match lookup {
            Lookup::Began(version) => ("known", Ok(version)),
            Lookup::Unknown => ("unknown", Err(job.refuse(RefusalReason::VersionGone, None))),
            Lookup::Unread { .. } => {
                let refusal =
                    Refusal::not_run(NotRunProof::NeverSent, RefusalReason::LogUnavailable);
                let restored_until = self.origins.origins.borrow().reads_count_from();
                let retry_after = restored_until
                    .since(self.now())
                    .max(RETRY_AFTER_STORE_FAILURE);
                ("unread", Err(refusal.retry_after(retry_after)))
            }
        };
        self.metrics.count_take_up(result);
        let source = if found.is_ok() { source } else { "" };
        let version = found.as_ref().ok().and_then(Option::as_ref);
        let version = version.map_or("", Version::as_str);
        let begun_by = job.request.resumes.as_ref().map_or("", |id| id.as_str());
        log::info!(request:% = job.request.id, begun_by = begun_by, result = result, source = source, version = version; "stream taken up");
        found
    }

    /// Looks the stream up in the log and at its holders. If the log can't be read, only a holder or
    /// a list of endpoints that is confirmed meanwhile can tell.
    async fn look_up_origin(&self, job: &Job) -> (Lookup, &'static str) {
        let key = job.stream_key();
        let is_named = job.request.resumes.is_some();
        let known = self.origins.origins.borrow().get(&key).cloned();
        if let Some(version) = known.filter(|_| is_named) {
            return (Lookup::Began(version), "record");
        }
        let held = async {
            if is_named {
                self.find_held(job).await
            } else {
                HeldVersion::NotHeld
            }
        };
        if self.origins.is_cut_off(self.now()) {
            return match held.await {
                HeldVersion::Held(version) => (Lookup::Began(version), "holder"),
                HeldVersion::NotHeld | HeldVersion::Unanswered => (UNREAD, ""),
            };
        }
        let found = tokio::time::timeout(READ_TIMEOUT, async {
            tokio::select! {
                biased;
                found = self.read_origin(job, held) => found,
                version = self.look_up_in_list(job) => (Lookup::Began(version), "list"),
            }
        });
        found.await.unwrap_or_else(|_| {
            self.origins
                .unreadable_until
                .set(self.now() + UNREADABLE_TIME);
            (UNREAD, "")
        })
    }

    /// Looks the stream up in the log. A stream without a record there began at the default only if
    /// its holders have none either.
    async fn read_origin(
        &self,
        job: &Job,
        held: impl Future<Output = HeldVersion>,
    ) -> (Lookup, &'static str) {
        let key = job.stream_key();
        let is_recorded = || self.origins.origins.borrow().get(&key).is_some();
        let (read, held) = (pin!(self.read_log_for(job)), pin!(held));
        let (lookup, held) = match select(read, held).await {
            Either::Left((lookup, _)) if is_recorded() => return (lookup, "record"),
            Either::Left((lookup, held)) => (lookup, held.await),
            Either::Right((held @ HeldVersion::Held(_), read)) => {
                // Without trust in the configuration the request would be refused. The store may
                // be back in time for it.
                if self
                    .check_config_trusted(job.organisation.as_ref())
                    .is_err()
                {
                    read.await;
                }
                (UNREAD, held)
            }
            Either::Right((held, read)) => (read.await, held),
        };
        match held {
            HeldVersion::Held(version) => (Lookup::Began(version), "holder"),
            HeldVersion::NotHeld | HeldVersion::Unanswered if is_recorded() => (lookup, "record"),
            HeldVersion::NotHeld => (lookup, "default"),
            HeldVersion::Unanswered => (UNREAD, ""),
        }
    }

    /// Waits until the list of endpoints tells that the stream began at the only version that has
    /// served.
    async fn look_up_in_list(&self, job: &Job) -> Option<Version> {
        let mut confirmations = self.origins.list_confirmed_at.subscribe();
        loop {
            let found = {
                let origins = self.origins.origins.borrow();
                origins.look_up_without_log(self.now(), &job.service, job.arrived)
            };
            if let Some(version) = found {
                return version;
            }
            if confirmations.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Looks the stream up until the log was read as far as it is needed, or reads do not count
    /// yet.
    async fn read_log_for(&self, job: &Job) -> Lookup {
        let mut has_read = false;
        loop {
            let lookup = {
                let now = self.now();
                let origins = self.origins.origins.borrow();
                if job.request.resumes.is_some() {
                    origins.look_up(now, &job.service, &job.stream_key(), job.arrived)
                } else {
                    origins.look_up_unnamed(now, &job.service, job.arrived)
                }
            };
            let Lookup::Unread { default, records } = lookup else {
                return lookup;
            };
            let reads_count_from = self.origins.origins.borrow().reads_count_from();
            if !reads_count_from.has_passed(self.now()) {
                return lookup;
            }
            if std::mem::replace(&mut has_read, true) {
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
            let read = self.origins.read_log(self, job.arrived, default, records);
            if let Err(error) = read.await {
                log::info!(request:% = job.request.id; "the versions of streams were not read: {error}");
            }
        }
    }
}
