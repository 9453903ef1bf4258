//! Publishes one change and determines its outcome.

use lentil_core::{ConfigVersion, Offset, Span, Time};

use crate::record::{RecordError, encode_record};
use crate::{Change, ChangeError, ChangeRecord, ConfigLedger, EntryBody, LogReader, Page};

/// Time between two reads of the log.
const READ_INTERVAL: Span = Span::from_ms(200);
/// How long to look for a record in the log after an append with an unknown result,
/// before the append is repeated.
const RETRY_DELAY: Span = Span::from_s(3);

/// Result of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended(Offset),
    /// The record is not in the log and will not be appended.
    Failed,
    /// The record may be in the log, or may still be appended.
    Unknown,
}

/// Input of [`Publisher`].
#[derive(Debug, Clone)]
pub enum PublishEvent {
    /// The log answered a read.
    Page(Page),
    /// The log did not answer a read.
    ReadFailed,
    /// The log answered the append.
    Append(AppendResult),
    /// Time has passed.
    Tick,
}

/// Operation that the caller of [`Publisher`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the log, starting at this offset.
    ReadLog(Offset),
    /// Append this record to the log.
    Append(Vec<u8>),
    /// Report the outcome; the publisher is finished.
    Finish(PublishOutcome),
}

/// Outcome of publishing a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is in force as this version.
    Accepted(ConfigVersion),
    /// The version in force is not the expected one, or another change created the
    /// version after the base. This change will never be in force.
    Superseded {
        /// The version now in force.
        version: ConfigVersion,
        /// The operator who published that version.
        by: String,
        /// The reason that the operator gave.
        why: String,
    },
    /// The change cannot be applied to the version in force; it was not appended.
    Refused(ChangeError),
    /// The log did not answer in time, and nothing was appended.
    NotAppended,
    /// It is unknown whether the change is or will be in force: the log did not answer in
    /// time, or the records that would tell were dropped.
    Undecided,
    /// The record cannot be encoded.
    Unencodable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Appending,
    Confirming,
    Finished,
}

/// State machine that publishes one change, based on the version it finds in force.
///
/// Once the version in force is newer than the base, the outcome of the change is
/// final, even if answers of the log were lost.
#[derive(Debug)]
pub struct Publisher {
    reader: LogReader,
    record: ChangeRecord,
    stage: Stage,
    expected: Option<ConfigVersion>,
    may_be_in_log: bool,
    accepted: Option<ConfigVersion>,
    skipped_after_append: bool,
    read_at: Time,
    is_reading: bool,
    retry_at: Time,
    deadline: Time,
}

impl Publisher {
    /// Creates a publisher of `record` that gives up at `deadline`.
    ///
    /// If `expected` is set, the change is published only if that version is in force,
    /// as it is the one that the operator has seen.
    #[must_use]
    pub fn new(
        now: Time,
        record: ChangeRecord,
        expected: Option<ConfigVersion>,
        deadline: Time,
    ) -> Self {
        Self {
            reader: LogReader::default(),
            record,
            stage: Stage::Reading,
            expected,
            may_be_in_log: false,
            accepted: None,
            skipped_after_append: false,
            read_at: now,
            is_reading: false,
            retry_at: Time::NEVER,
            deadline,
        }
    }

    /// Returns the configuration state that the publisher has read.
    #[must_use]
    pub const fn ledger(&self) -> &ConfigLedger {
        self.reader.ledger()
    }

    /// Handles an event and returns the operations to perform.
    pub fn on(&mut self, now: Time, event: PublishEvent) -> Vec<PublishAction> {
        if self.stage == Stage::Finished {
            return Vec::new();
        }
        match event {
            PublishEvent::Page(page) => self.on_page(now, &page),
            PublishEvent::ReadFailed => {
                self.is_reading = false;
                self.read_at = now + READ_INTERVAL;
                self.on_tick(now)
            }
            PublishEvent::Append(result) => self.on_append(now, result),
            PublishEvent::Tick => self.on_tick(now),
        }
    }

    fn on_tick(&mut self, now: Time) -> Vec<PublishAction> {
        if self.deadline.has_passed(now) {
            return self.finish(if self.may_be_in_log {
                PublishOutcome::Undecided
            } else {
                PublishOutcome::NotAppended
            });
        }
        let is_due = self.read_at.has_passed(now) && !self.is_reading;
        if !is_due || self.stage == Stage::Appending {
            return Vec::new();
        }
        self.is_reading = true;
        vec![PublishAction::ReadLog(self.reader.next_offset())]
    }

    fn on_page(&mut self, now: Time, page: &Page) -> Vec<PublishAction> {
        self.is_reading = false;
        self.read_at = now;
        let had_skipped = self.reader.has_skipped();
        let id = self.record.id.as_str();
        let mut own_version = None;
        let at_end = self.reader.apply_page(page, |ledger| {
            let newest = ledger.in_force().filter(|in_force| in_force.id == id);
            own_version = newest.map(|in_force| in_force.version).or(own_version);
        });
        if self.may_be_in_log {
            self.accepted = self.accepted.or(own_version);
        }
        let skipped = self.reader.has_skipped() && !had_skipped;
        self.skipped_after_append |= skipped && self.may_be_in_log;
        if !at_end {
            return self.on_tick(now);
        }
        self.read_at = now + READ_INTERVAL;
        match self.stage {
            Stage::Reading => self.validate_and_append(),
            Stage::Confirming => self.confirm(now),
            Stage::Appending | Stage::Finished => Vec::new(),
        }
    }

    /// Checks the change against the version in force and appends it.
    fn validate_and_append(&mut self) -> Vec<PublishAction> {
        let current = self.ledger().version();
        if self.expected.is_some_and(|expected| expected != current) {
            return self.finish_superseded();
        }
        let in_force = self
            .ledger()
            .in_force()
            .map(|in_force| &in_force.configuration);
        if let Err(error) = self.record.change.apply(in_force) {
            return self.finish(PublishOutcome::Refused(error));
        }
        self.record.base = current;
        self.append()
    }

    fn append(&mut self) -> Vec<PublishAction> {
        match self.encoded() {
            Ok(bytes) => {
                self.stage = Stage::Appending;
                self.may_be_in_log = true;
                vec![PublishAction::Append(bytes)]
            }
            Err(_) => self.finish(PublishOutcome::Unencodable),
        }
    }

    fn encoded(&self) -> Result<Vec<u8>, RecordError> {
        encode_record(EntryBody::Change(self.record.clone()))
    }

    fn on_append(&mut self, now: Time, result: AppendResult) -> Vec<PublishAction> {
        if self.stage != Stage::Appending {
            return Vec::new();
        }
        self.stage = Stage::Confirming;
        self.retry_at = match result {
            AppendResult::Appended(_) => Time::NEVER,
            AppendResult::Failed => now,
            AppendResult::Unknown => now + RETRY_DELAY,
        };
        self.read_at = now;
        self.on_tick(now)
    }

    /// Determines whether the version after the base exists and which change created it.
    fn confirm(&mut self, now: Time) -> Vec<PublishAction> {
        if let Some(version) = self.accepted {
            return self.finish(PublishOutcome::Accepted(version));
        }
        if self.ledger().version() == self.record.base {
            return self.retry_append(now);
        }
        if self.skipped_after_append {
            return self.finish(PublishOutcome::Undecided);
        }
        self.finish_superseded()
    }

    fn retry_append(&mut self, now: Time) -> Vec<PublishAction> {
        if !self.retry_at.has_passed(now) {
            return Vec::new();
        }
        self.retry_at = Time::NEVER;
        self.append()
    }

    fn finish_superseded(&mut self) -> Vec<PublishAction> {
        let (by, why) = self
            .ledger()
            .in_force()
            .map(|in_force| (in_force.by.clone(), in_force.why.clone()))
            .unwrap_or_default();
        self.finish(PublishOutcome::Superseded {
            version: self.ledger().version(),
            by,
            why,
        })
    }

    fn finish(&mut self, outcome: PublishOutcome) -> Vec<PublishAction> {
        self.stage = Stage::Finished;
        vec![PublishAction::Finish(outcome)]
    }

    /// Returns the change being published.
    #[must_use]
    pub const fn change(&self) -> &Change {
        &self.record.change
    }
}
