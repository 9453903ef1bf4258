//! Publishing one change and finding out what became of it.

use lentil_core::{ConfigVersion, Offset, Span, Time};

use crate::record::{RecordError, encode_record};
use crate::{Change, ChangeError, ChangeRecord, ConfigLedger, EntryBody, LogReader, Page};

/// Time between two readings of the log.
const READ_INTERVAL: Span = Span::from_ms(200);
/// How long an append without an answer is looked for before it is repeated.
const REPEAT_AFTER: Span = Span::from_s(3);

/// The log's answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record is in the log.
    Appended(Offset),
    /// The record is not in the log and won't be.
    Failed,
    /// The record may be in the log, or still get there.
    Unknown,
}

/// What happened to a publisher.
#[derive(Debug, Clone)]
pub enum PublishEvent {
    /// The log answered a reading.
    Page(Page),
    /// The log didn't answer a reading.
    ReadFailed,
    /// The log answered the append.
    Append(AppendResult),
    /// Time has passed.
    Tick,
}

/// What a publisher has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the log from an offset on.
    ReadLog(Offset),
    /// Append this record.
    Append(Vec<u8>),
    /// The fate of the change is known.
    Finish(PublishOutcome),
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is in force as this version.
    Accepted(ConfigVersion),
    /// Another change took its version; this one never comes in force.
    Superseded {
        /// The version now in force.
        version: ConfigVersion,
        /// Who made it.
        by: String,
        /// The reason given for it.
        why: String,
    },
    /// It can't be applied to the version in force; it was not appended.
    Refused(ChangeError),
    /// The log didn't answer in time and nothing was appended.
    NotAppended,
    /// The log didn't answer in time; the change may still come in force.
    Undecided,
    /// The record has no form in the log.
    Unencodable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Appending,
    Seeking,
    Finished,
}

/// Publishes one change on the base of the version it finds in force.
///
/// Once the version in force is beyond its base, the fate of the change is
/// decided for good, whatever answers were lost.
#[derive(Debug)]
pub struct Publisher {
    reader: LogReader,
    record: ChangeRecord,
    stage: Stage,
    expected: Option<ConfigVersion>,
    may_be_in_log: bool,
    accepted: Option<ConfigVersion>,
    was_skipped: bool,
    read_at: Time,
    is_reading: bool,
    repeat_at: Time,
    ends_at: Time,
}

impl Publisher {
    /// Publishes `change` before `ends_at`. `expected` is the version that the
    /// operator looked at, where another one must not be built upon.
    #[must_use]
    pub fn new(
        now: Time,
        record: ChangeRecord,
        expected: Option<ConfigVersion>,
        ends_at: Time,
    ) -> Self {
        Self {
            reader: LogReader::default(),
            record,
            stage: Stage::Reading,
            expected,
            may_be_in_log: false,
            accepted: None,
            was_skipped: false,
            read_at: now,
            is_reading: false,
            repeat_at: Time::NEVER,
            ends_at,
        }
    }

    /// What the publisher has read.
    #[must_use]
    pub const fn ledger(&self) -> &ConfigLedger {
        self.reader.ledger()
    }

    /// Takes an event and says what to do.
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
            PublishEvent::Append(answer) => self.on_append(now, answer),
            PublishEvent::Tick => self.on_tick(now),
        }
    }

    fn on_tick(&mut self, now: Time) -> Vec<PublishAction> {
        if self.ends_at.has_passed(now) {
            return self.settle(if self.may_be_in_log {
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
        let mut ours = None;
        let at_end = self.reader.fold(page, |ledger| {
            let newest = ledger.in_force().filter(|in_force| in_force.id == id);
            ours = newest.map(|in_force| in_force.version).or(ours);
        });
        if self.may_be_in_log {
            self.accepted = self.accepted.or(ours);
        }
        let skipped = self.reader.has_skipped() && !had_skipped;
        self.was_skipped |= skipped && self.may_be_in_log;
        if !at_end {
            return self.on_tick(now);
        }
        self.read_at = now + READ_INTERVAL;
        match self.stage {
            Stage::Reading => self.begin(),
            Stage::Seeking => self.seek(now),
            Stage::Appending | Stage::Finished => Vec::new(),
        }
    }

    /// Checks the change against the version in force and appends it.
    fn begin(&mut self) -> Vec<PublishAction> {
        let current = self.ledger().version();
        if self.expected.is_some_and(|expected| expected != current) {
            return self.lost();
        }
        let in_force = self
            .ledger()
            .in_force()
            .map(|in_force| &in_force.configuration);
        if let Err(error) = self.record.change.apply(in_force) {
            return self.settle(PublishOutcome::Refused(error));
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
            Err(_) => self.settle(PublishOutcome::Unencodable),
        }
    }

    fn encoded(&self) -> Result<Vec<u8>, RecordError> {
        encode_record(EntryBody::Change(self.record.clone()))
    }

    fn on_append(&mut self, now: Time, answer: AppendResult) -> Vec<PublishAction> {
        if self.stage != Stage::Appending {
            return Vec::new();
        }
        self.stage = Stage::Seeking;
        self.repeat_at = match answer {
            AppendResult::Appended(_) => Time::NEVER,
            AppendResult::Failed => now,
            AppendResult::Unknown => now + REPEAT_AFTER,
        };
        self.read_at = now;
        self.on_tick(now)
    }

    /// Looks whether the version after the base is there, and whose it is.
    fn seek(&mut self, now: Time) -> Vec<PublishAction> {
        if let Some(version) = self.accepted {
            return self.settle(PublishOutcome::Accepted(version));
        }
        if self.ledger().version() == self.record.base {
            return self.repeat(now);
        }
        if self.was_skipped {
            return self.settle(PublishOutcome::Undecided);
        }
        self.lost()
    }

    fn repeat(&mut self, now: Time) -> Vec<PublishAction> {
        if !self.repeat_at.has_passed(now) {
            return Vec::new();
        }
        self.repeat_at = Time::NEVER;
        self.append()
    }

    fn lost(&mut self) -> Vec<PublishAction> {
        let (by, why) = self
            .ledger()
            .in_force()
            .map(|in_force| (in_force.by.clone(), in_force.why.clone()))
            .unwrap_or_default();
        self.settle(PublishOutcome::Superseded {
            version: self.ledger().version(),
            by,
            why,
        })
    }

    fn settle(&mut self, settled: PublishOutcome) -> Vec<PublishAction> {
        self.stage = Stage::Finished;
        vec![PublishAction::Finish(settled)]
    }

    /// The type of change being published.
    #[must_use]
    pub const fn change(&self) -> &Change {
        &self.record.change
    }
}
