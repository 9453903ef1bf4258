//! Records of suspects that peers exchange.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use lentil_core::Fingerprint;
use thiserror::Error;

use crate::suspects::CrashId;

/// Maximum number of crashes parsed from one record.
const CRASHES_MAX: usize = 64;

/// A suspect's fingerprint and the crashes that count against it.
///
/// The text form is `FINGERPRINT:` followed by the crashes, separated by commas.
/// Each crash is a mark and its id in hexadecimal. The mark is `c` if other requests were
/// running at the endpoint and `a` if the suspect ran alone; it is in upper case
/// (`C`, `A`) if the suspect was cleared of the crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Crashes, and whether the request ran alone at the endpoint.
    pub crashes: BTreeMap<CrashId, bool>,
    /// Crashes of which a later successful run cleared the request.
    pub cleared: BTreeSet<CrashId>,
}

/// Error for a string that is not a suspect record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("suspect record is not of the form FINGERPRINT:MARK+CRASH,...")]
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
        for (index, (crash, alone)) in self.crashes.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
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
        let mut record = Self {
            fingerprint: Fingerprint::new(fingerprint),
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
        };
        for crash in crashes
            .split(',')
            .filter(|c| !c.is_empty())
            .take(CRASHES_MAX)
        {
            record.parse_crash(crash)?;
        }
        Ok(record)
    }
}

impl SuspectRecord {
    fn parse_crash(&mut self, text: &str) -> Result<(), ParseSuspectRecordError> {
        let mut chars = text.chars();
        let mark = chars.next().ok_or(ParseSuspectRecordError)?;
        let id = u64::from_str_radix(chars.as_str(), 16).map_err(|_| ParseSuspectRecordError)?;
        let (alone, cleared) = match mark {
            'c' => (false, false),
            'a' => (true, false),
            'C' => (false, true),
            'A' => (true, true),
            _ => return Err(ParseSuspectRecordError),
        };
        let crash = CrashId::new(id);
        self.crashes.insert(crash, alone);
        if cleared {
            self.cleared.insert(crash);
        }
        Ok(())
    }
}
