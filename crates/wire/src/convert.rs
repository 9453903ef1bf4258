//! Conversions between wire types and domain types.

use lentil_core::{
    Blocks, BootId, EndpointLoad, EndpointState, Outcome, ParseIdError, Priority, Span,
};
use thiserror::Error;

use crate::v1;

/// A received message has a missing or invalid field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// A field is not a valid identifier.
    #[error("field {field}: {source}")]
    InvalidId {
        /// The field.
        field: &'static str,
        /// The parse error.
        source: ParseIdError,
    },
    /// A required field is missing or unspecified.
    #[error("field {field} is missing")]
    MissingField {
        /// The field.
        field: &'static str,
    },
}

impl From<Priority> for v1::Priority {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Verdict => Self::Verdict,
            Priority::Interactive => Self::Interactive,
            Priority::Report => Self::Report,
        }
    }
}

impl TryFrom<v1::Priority> for Priority {
    type Error = WireError;

    fn try_from(priority: v1::Priority) -> Result<Self, WireError> {
        match priority {
            v1::Priority::Verdict => Ok(Self::Verdict),
            v1::Priority::Interactive => Ok(Self::Interactive),
            v1::Priority::Report => Ok(Self::Report),
            v1::Priority::Unspecified => Err(WireError::MissingField { field: "priority" }),
        }
    }
}

impl From<Outcome> for v1::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Ran => Self::Ran,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<v1::Outcome> for Outcome {
    type Error = WireError;

    fn try_from(outcome: v1::Outcome) -> Result<Self, WireError> {
        match outcome {
            v1::Outcome::NotRun => Ok(Self::NotRun),
            v1::Outcome::Ran => Ok(Self::Ran),
            v1::Outcome::Unknown => Ok(Self::Unknown),
            v1::Outcome::Unspecified => Err(WireError::MissingField { field: "outcome" }),
        }
    }
}

impl From<EndpointState> for v1::EndpointState {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::Cold => Self::Cold,
            EndpointState::Warm => Self::Warm,
            EndpointState::Leaving => Self::Leaving,
            EndpointState::Down => Self::Down,
        }
    }
}

impl TryFrom<v1::EndpointState> for EndpointState {
    type Error = WireError;

    fn try_from(state: v1::EndpointState) -> Result<Self, WireError> {
        match state {
            v1::EndpointState::Cold => Ok(Self::Cold),
            v1::EndpointState::Warm => Ok(Self::Warm),
            v1::EndpointState::Leaving => Ok(Self::Leaving),
            v1::EndpointState::Down => Ok(Self::Down),
            v1::EndpointState::Unspecified => Err(WireError::MissingField { field: "state" }),
        }
    }
}

impl TryFrom<&v1::LoadReport> for EndpointLoad {
    type Error = WireError;

    fn try_from(report: &v1::LoadReport) -> Result<Self, WireError> {
        Ok(Self {
            boot: BootId::new(report.boot),
            sequence: report.sequence,
            state: EndpointState::try_from(report.state())?,
            running: report.running,
            waiting: report.waiting,
            free_slots: report.free_slots,
            blocks_used: Blocks::new(report.blocks_used),
            blocks_total: Blocks::new(report.blocks_total),
            wait: Span::from_ms(report.wait_ms),
        })
    }
}
