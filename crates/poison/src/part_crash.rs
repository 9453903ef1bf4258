//! Records of crashes that parts of prompts may have caused, as peers exchange them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use lentil_core::PromptPartId;
use thiserror::Error;

use crate::suspects::CrashId;

/// Maximum number of parts parsed from one record.
const PARTS_MAX: usize = 32;

/// How strongly a request is suspected of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The request was at the engine. Its answer had not begun, or only just brought
    /// events.
    Present,
    /// The engine had begun the answer and crashed before its first event.
    AnswerBegun,
}

/// A request whose answer was lost in a crash, by the shared parts of its prompt.
///
/// The text form is a mark (`b` for [`Evidence::AnswerBegun`], `p` for
/// [`Evidence::Present`]), the crash, a colon and the parts, separated by commas. A part
/// that has been cleared of the crash follows an exclamation mark.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartCrash {
    /// The crash.
    pub crash: CrashId,
    /// How strongly the request is suspected.
    pub evidence: Evidence,
    /// The shared parts of the request's prompt.
    pub parts: BTreeSet<PromptPartId>,
    /// Those of the parts on which an engine has answered since.
    pub cleared: BTreeSet<PromptPartId>,
}

/// Error for a string that is not a record of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("record of a crash is not of the form MARK+CRASH:PART,...")]
pub struct ParsePartCrashError;

impl fmt::Display for PartCrash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.evidence {
            Evidence::Present => 'p',
            Evidence::AnswerBegun => 'b',
        };
        write!(f, "{mark}{}:", self.crash)?;
        for (index, part) in self.parts.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let mark = if self.cleared.contains(part) { "!" } else { "" };
            write!(f, "{comma}{mark}{part}")?;
        }
        Ok(())
    }
}

impl FromStr for PartCrash {
    type Err = ParsePartCrashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (head, list) = text.split_once(':').ok_or(ParsePartCrashError)?;
        let (evidence, crash) = match (head.strip_prefix('b'), head.strip_prefix('p')) {
            (Some(crash), _) => (Evidence::AnswerBegun, crash),
            (None, Some(crash)) => (Evidence::Present, crash),
            (None, None) => return Err(ParsePartCrashError),
        };
        let crash = u64::from_str_radix(crash, 16).map_err(|_| ParsePartCrashError)?;
        let mut record = Self {
            crash: CrashId::new(crash),
            evidence,
            parts: BTreeSet::new(),
            cleared: BTreeSet::new(),
        };
        for text in list.split(',').take(PARTS_MAX) {
            let (text, cleared) = text
                .strip_prefix('!')
                .map_or((text, false), |text| (text, true));
            let part: PromptPartId = text.parse().map_err(|_| ParsePartCrashError)?;
            record.parts.insert(part);
            if cleared {
                record.cleared.insert(part);
            }
        }
        Ok(record)
    }
}
