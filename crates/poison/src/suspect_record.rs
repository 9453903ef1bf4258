//! What peers tell each other of suspects.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use lentil_core::Fingerprint;
use thiserror::Error;

use crate::suspects::CrashId;

/// Most crashes read from one rumour.
const CRASHES_MAX: usize = 64;

/// The crashes that a fingerprint is suspect of, as text
/// `FINGERPRINT:MARK CRASH,...`; the mark tells company (`c`), alone (`a`), or
/// both cleared (`C`, `A`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Whose request.
    pub fingerprint: Fingerprint,
    /// Crashes, and whether the request was alone on board.
    pub crashes: BTreeMap<CrashId, bool>,
    /// Crashes that a later run alone has explained otherwise.
    pub cleared: BTreeSet<CrashId>,
}

/// A text that is no rumour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a rumour has the form FINGERPRINT:MARK+CRASH,...")]
pub struct ParseSuspectRecordError;

impl SuspectRecord {
    const fn mark(alone: bool, cleared: bool) -> char {
        match (alone, cleared) {
            (false, false) => 'c',
            (true, false) => 'a',
            (false, true) => 'C',
            (true, true) => 'A',
        }
    }
}

impl fmt::Display for SuspectRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.fingerprint)?;
        for (number, (crash, alone)) in self.crashes.iter().enumerate() {
            let comma = if number == 0 { "" } else { "," };
            let mark = Self::mark(*alone, self.cleared.contains(crash));
            write!(f, "{comma}{mark}{crash}")?;
        }
        Ok(())
    }
}

impl FromStr for SuspectRecord {
    type Err = ParseSuspectRecordError;

    fn from_str(text: &str) -> Result<Self, ParseSuspectRecordError> {
        let (fingerprint, crashes) = text.split_once(':').ok_or(ParseSuspectRecordError)?;
        let fingerprint =
            u128::from_str_radix(fingerprint, 16).map_err(|_| ParseSuspectRecordError)?;
        let mut rumour = Self {
            fingerprint: Fingerprint::new(fingerprint),
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
        };
        for crash in crashes
            .split(',')
            .filter(|c| !c.is_empty())
            .take(CRASHES_MAX)
        {
            rumour.read_crash(crash)?;
        }
        Ok(rumour)
    }
}

impl SuspectRecord {
    fn read_crash(&mut self, text: &str) -> Result<(), ParseSuspectRecordError> {
        let mut characters = text.chars();
        let mark = characters.next().ok_or(ParseSuspectRecordError)?;
        let number =
            u64::from_str_radix(characters.as_str(), 16).map_err(|_| ParseSuspectRecordError)?;
        let (alone, cleared) = match mark {
            'c' => (false, false),
            'a' => (true, false),
            'C' => (false, true),
            'A' => (true, true),
            _ => return Err(ParseSuspectRecordError),
        };
        let crash = CrashId::new(number);
        self.crashes.insert(crash, alone);
        if cleared {
            self.cleared.insert(crash);
        }
        Ok(())
    }
}
