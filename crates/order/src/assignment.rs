//! The model, version, adapters and role that an endpoint holds or is to hold.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use lentil_core::{AdapterId, ModelId, VersionId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The phases of a generation that an engine runs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

impl Role {
    const ALL: [Self; 3] = [Self::Mixed, Self::Prefill, Self::Decode];

    /// The name used in orders and settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not the name of a role.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown role; expected mixed, prefill or decode")]
pub struct ParseRoleError;

impl FromStr for Role {
    type Err = ParseRoleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|role| role.as_str() == text)
            .ok_or(ParseRoleError)
    }
}

/// A model with its version, adapters and role.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: VersionId,
    /// Adapters loaded on top of the model.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// The phases that the endpoint runs.
    #[serde(default)]
    pub role: Role,
}

impl fmt::Display for Assignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        for adapter in &self.adapters {
            write!(f, "+{adapter}")?;
        }
        write!(f, " {}", self.role)
    }
}
