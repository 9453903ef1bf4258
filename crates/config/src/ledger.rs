//! Applies the records of the configuration stream in order.
//!
//! Every process derives the same versions from the same records.

use std::collections::VecDeque;
use std::sync::Arc;

use lentil_core::{ConfigVersion, Offset};
use serde::{Deserialize, Serialize};

use crate::exchange::{Digest, Update};
use crate::record::{RecordError, decode_record};
use crate::{
    Change, ChangeError, ChangeRecord, Checkpoint, Configuration, ConfigurationError,
    ConfigurationFile, EntryBody,
};

/// Maximum number of accepted changes kept for peers that are a few versions behind.
const HISTORY_MAX: usize = 512;

/// A change that created a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedChange {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The offset of its record in the log.
    pub offset: Offset,
    /// The record as published.
    pub record: ChangeRecord,
}

/// A configuration together with its version and origin.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedConfiguration {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The configuration.
    pub configuration: Configuration,
    /// The identifier of the record that created this version.
    pub id: String,
    /// The operator who published this version.
    pub by: String,
    /// The reason that the operator gave.
    pub why: String,
}

/// Result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The change was applied and created this version.
    Accepted(ConfigVersion),
    /// The record is a checkpoint of this version.
    Checkpoint(ConfigVersion),
    /// The base of the change is not the version in force: another change came
    /// first, or that base was never in force.
    Stale {
        /// The version that the change is based on.
        base: ConfigVersion,
        /// The version in force at the offset of the record.
        current: ConfigVersion,
    },
    /// The change or checkpoint is invalid.
    Refused(ChangeError),
    /// The bytes are not a record of this stream.
    Malformed,
    /// The record lies before the position of the reader.
    AlreadyApplied,
    /// The record has a newer format; the position stays at this record.
    NewerFormat(u32),
}

/// The configuration state of one process.
///
/// The version in force here is the result of all records with offsets below
/// `next`. The version never decreases.
#[derive(Debug, Clone, Default)]
pub struct ConfigLedger {
    in_force: Option<Arc<VersionedConfiguration>>,
    next: Offset,
    history: VecDeque<Arc<AcceptedChange>>,
}

impl ConfigLedger {
    /// Returns the configuration in force, if one is known.
    #[must_use]
    pub const fn in_force(&self) -> Option<&Arc<VersionedConfiguration>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, or 0 if none is known.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.in_force
            .as_ref()
            .map_or_else(ConfigVersion::default, |in_force| in_force.version)
    }

    /// Returns the first offset that has not been applied.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the version in force and the log position.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            version: self.version(),
            next: self.next,
        }
    }

    /// Returns the latest accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Arc<AcceptedChange>> {
        self.history.iter()
    }

    /// Applies the record at `offset`.
    pub fn apply_record(&mut self, offset: Offset, bytes: &[u8]) -> RecordOutcome {
        if offset < self.next {
            return RecordOutcome::AlreadyApplied;
        }
        let outcome = match decode_record(bytes) {
            Err(RecordError::NewerFormat(format)) => return RecordOutcome::NewerFormat(format),
            Err(RecordError::Malformed(_)) => RecordOutcome::Malformed,
            Ok(EntryBody::Change(record)) => self.apply_change_record(offset, record),
            Ok(EntryBody::Checkpoint(checkpoint)) => self.apply_checkpoint_record(checkpoint),
        };
        self.next = offset.next();
        outcome
    }

    fn apply_change_record(&mut self, offset: Offset, record: ChangeRecord) -> RecordOutcome {
        let current = self.version();
        if record.base != current {
            return RecordOutcome::Stale {
                base: record.base,
                current,
            };
        }
        let accepted = AcceptedChange {
            version: current.next(),
            offset,
            record,
        };
        match self.apply_change(accepted) {
            Ok(()) => RecordOutcome::Accepted(current.next()),
            Err(error) => RecordOutcome::Refused(error),
        }
    }

    fn apply_checkpoint_record(&mut self, checkpoint: Checkpoint) -> RecordOutcome {
        let version = checkpoint.version;
        match self.install_checkpoint(checkpoint) {
            Ok(_) => RecordOutcome::Checkpoint(version),
            Err(error) => RecordOutcome::Refused(error.into()),
        }
    }

    fn apply_change(&mut self, accepted: AcceptedChange) -> Result<(), ChangeError> {
        let current = self
            .in_force
            .as_ref()
            .map(|in_force| &in_force.configuration);
        let configuration = accepted.record.change.apply(current)?;
        self.in_force = Some(Arc::new(VersionedConfiguration {
            version: accepted.version,
            configuration,
            id: accepted.record.id.clone(),
            by: accepted.record.by.clone(),
            why: accepted.record.why.clone(),
        }));
        self.push_history(accepted);
        Ok(())
    }

    fn push_history(&mut self, accepted: AcceptedChange) {
        if matches!(accepted.record.change, Change::Replace(_)) {
            // Peers receive a complete configuration as a checkpoint.
            self.history.clear();
            return;
        }
        if self.history.len() == HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(Arc::new(accepted));
    }

    /// Installs a checkpoint unless it is older than the version in force.
    ///
    /// Returns whether the version increased.
    ///
    /// # Errors
    /// The configuration of the checkpoint is invalid.
    pub fn install_checkpoint(
        &mut self,
        checkpoint: Checkpoint,
    ) -> Result<bool, ConfigurationError> {
        let is_newer = checkpoint.version > self.version();
        if is_newer {
            let configuration = Configuration::try_from(checkpoint.configuration)?;
            self.history.clear();
            self.in_force = Some(Arc::new(VersionedConfiguration {
                version: checkpoint.version,
                configuration,
                id: checkpoint.id,
                by: checkpoint.by,
                why: checkpoint.why,
            }));
        }
        if checkpoint.version == self.version() {
            self.next = self.next.max(checkpoint.through);
        }
        Ok(is_newer)
    }

    /// Applies the digest and update of a peer.
    ///
    /// Returns whether the version increased.
    pub fn apply_update(&mut self, digest: Digest, update: Option<Update>) -> bool {
        let before = self.version();
        match update {
            Some(Update::Changes(changes)) => {
                for accepted in changes {
                    self.apply_peer_change(accepted);
                }
            }
            Some(Update::Checkpoint(checkpoint)) => {
                // An invalid checkpoint is treated as not received.
                let _ = self.install_checkpoint(*checkpoint);
            }
            None => {}
        }
        if digest.version == self.version() {
            self.next = self.next.max(digest.next);
        }
        self.version() > before
    }

    fn apply_peer_change(&mut self, accepted: AcceptedChange) {
        let is_next =
            accepted.record.base == self.version() && accepted.version == self.version().next();
        if is_next {
            // If this process cannot apply a change that a peer could apply, a
            // later checkpoint brings the version.
            let _ = self.apply_change(accepted);
        }
    }

    /// Returns the update that brings a peer at `version` up to date, if it is behind.
    #[must_use]
    pub fn update_since(&self, version: ConfigVersion) -> Option<Update> {
        if version >= self.version() {
            return None;
        }
        let first = self.history.front().map(|accepted| accepted.version);
        if first.is_some_and(|first| first <= version.next()) {
            let missing = |accepted: &&Arc<AcceptedChange>| accepted.version > version;
            let changes = self.history.iter().filter(missing);
            return Some(Update::Changes(
                changes.map(|accepted| accepted.as_ref().clone()).collect(),
            ));
        }
        self.checkpoint()
            .map(|checkpoint| Update::Checkpoint(Box::new(checkpoint)))
    }

    /// Returns an update with the newest accepted change only.
    #[must_use]
    pub fn last_change(&self) -> Option<Update> {
        let last = self.history.back()?;
        Some(Update::Changes(vec![last.as_ref().clone()]))
    }

    /// Returns a checkpoint of the configuration in force and its log position.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let in_force = self.in_force.as_ref()?;
        Some(Checkpoint {
            version: in_force.version,
            through: self.next,
            id: in_force.id.clone(),
            by: in_force.by.clone(),
            why: in_force.why.clone(),
            configuration: ConfigurationFile::from(&in_force.configuration),
        })
    }
}
