//! Folding the configuration stream into versions, alike in every process.

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

/// Most accepted changes kept for peers that are a few versions behind.
const HISTORY_MAX: usize = 512;

/// A change that won its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedChange {
    /// The version that it made.
    pub version: ConfigVersion,
    /// Its place in the log.
    pub offset: Offset,
    /// What was asked for.
    pub record: ChangeRecord,
}

/// A configuration in force with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedConfiguration {
    /// Its version.
    pub version: ConfigVersion,
    /// The configuration.
    pub configuration: Configuration,
    /// The identifier of the record that made this version.
    pub id: String,
    /// Who made this version.
    pub by: String,
    /// The reason given for it.
    pub why: String,
}

/// What a reader makes of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It is the next version.
    Accepted(ConfigVersion),
    /// It repeats the configuration of a version.
    Checkpoint(ConfigVersion),
    /// Another change came first, or its base never was in force.
    Stale {
        /// The version that it was made for.
        base: ConfigVersion,
        /// The version in force at its place.
        current: ConfigVersion,
    },
    /// It can't be applied.
    Refused(ChangeError),
    /// It is no record of this stream.
    Malformed,
    /// It lies before the reader's position.
    AlreadyApplied,
    /// It is of a newer format; the reader stays in front of it.
    NewerFormat(u32),
}

/// The configuration as far as one process knows it.
///
/// Its position says that after all records below `next` the version is the
/// one in force here. Versions only grow.
#[derive(Debug, Clone, Default)]
pub struct ConfigLedger {
    in_force: Option<Arc<VersionedConfiguration>>,
    next: Offset,
    history: VecDeque<Arc<AcceptedChange>>,
}

impl ConfigLedger {
    /// The configuration in force, once one is known.
    #[must_use]
    pub const fn in_force(&self) -> Option<&Arc<VersionedConfiguration>> {
        self.in_force.as_ref()
    }

    /// The version in force; 0 when none is known.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.in_force
            .as_ref()
            .map_or_else(ConfigVersion::default, |in_force| in_force.version)
    }

    /// The first offset that isn't folded in.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Version and position.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest {
            version: self.version(),
            next: self.next,
        }
    }

    /// The latest accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Arc<AcceptedChange>> {
        self.history.iter()
    }

    /// Folds the record at `offset` in.
    pub fn apply_record(&mut self, offset: Offset, bytes: &[u8]) -> RecordOutcome {
        if offset < self.next {
            return RecordOutcome::AlreadyApplied;
        }
        let verdict = match decode_record(bytes) {
            Err(RecordError::NewerFormat(format)) => return RecordOutcome::NewerFormat(format),
            Err(RecordError::Malformed(_)) => RecordOutcome::Malformed,
            Ok(EntryBody::Change(record)) => self.fold_change(offset, record),
            Ok(EntryBody::Checkpoint(checkpoint)) => self.fold_checkpoint(checkpoint),
        };
        self.next = offset.next();
        verdict
    }

    fn fold_change(&mut self, offset: Offset, record: ChangeRecord) -> RecordOutcome {
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
        match self.accept(accepted) {
            Ok(()) => RecordOutcome::Accepted(current.next()),
            Err(error) => RecordOutcome::Refused(error),
        }
    }

    fn fold_checkpoint(&mut self, checkpoint: Checkpoint) -> RecordOutcome {
        let version = checkpoint.version;
        match self.install_checkpoint(checkpoint) {
            Ok(_) => RecordOutcome::Checkpoint(version),
            Err(error) => RecordOutcome::Refused(error.into()),
        }
    }

    fn accept(&mut self, accepted: AcceptedChange) -> Result<(), ChangeError> {
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
        self.remember(accepted);
        Ok(())
    }

    fn remember(&mut self, accepted: AcceptedChange) {
        if matches!(accepted.record.change, Change::Replace(_)) {
            // A whole configuration travels as a checkpoint.
            self.history.clear();
            return;
        }
        if self.history.len() == HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(Arc::new(accepted));
    }

    /// Takes over a checkpoint unless it is older; true when the version grew.
    ///
    /// # Errors
    /// Its configuration is not usable.
    pub fn install_checkpoint(
        &mut self,
        checkpoint: Checkpoint,
    ) -> Result<bool, ConfigurationError> {
        let newer = checkpoint.version > self.version();
        if newer {
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
        Ok(newer)
    }

    /// Learns from a peer; true when the version grew.
    pub fn apply_update(&mut self, digest: Digest, update: Option<Update>) -> bool {
        let before = self.version();
        match update {
            Some(Update::Changes(changes)) => {
                for accepted in changes {
                    self.learn_change(accepted);
                }
            }
            Some(Update::Checkpoint(checkpoint)) => {
                // What can't be used is treated as not received.
                let _ = self.install_checkpoint(*checkpoint);
            }
            None => {}
        }
        if digest.version == self.version() {
            self.next = self.next.max(digest.next);
        }
        self.version() > before
    }

    fn learn_change(&mut self, accepted: AcceptedChange) {
        let follows =
            accepted.record.base == self.version() && accepted.version == self.version().next();
        if follows {
            // A change that a peer could apply and this process can't is left
            // to a checkpoint.
            let _ = self.accept(accepted);
        }
    }

    /// What a peer at `version` needs to catch up.
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

    /// The newest change alone.
    #[must_use]
    pub fn last_change(&self) -> Option<Update> {
        let last = self.history.back()?;
        Some(Update::Changes(vec![last.as_ref().clone()]))
    }

    /// The whole configuration with its position.
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
