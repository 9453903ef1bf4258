//! Roll-out of a new version of a service beside the old one.
//!
//! [`Rollout`] decides, for one order and one gateway, which share of a service's
//! requests goes to the target version, when the target is promoted and when it is
//! rolled back. It is designed for several dozen gateways that send a service's
//! requests independently, see each other's [`Evidence`] up to about a second late and
//! share one status record per service.
//!
//! [`ExposureBudget`] bounds what one gateway sends to an unproven version without any
//! messages. [`VersionGate`] withholds versions that appear without an order.
//!
//! The canary analysis compares target and old version by route and availability zone
//! over the same period. Its error probabilities are stated in [`Verdict`].

mod analysis;
mod comparison;
mod decision;
mod evidence;
mod exposure;
mod order;
mod poisson;
mod rollout;
mod schedule;
mod shares;
mod version_gate;

pub use analysis::{Symptom, Verdict};
pub use decision::{Decision, Observation, RolloutLimits};
pub use evidence::{Counts, Evidence, EvidenceKey, LATENCY_BUCKETS, Side, bucket_start};
pub use exposure::ExposureBudget;
pub use order::{
    ParseStageError, ParseStateError, ParseVersionError, RecordedStatus, RolloutOrder, Stage,
    State, Version, write_jitter,
};
pub use rollout::Rollout;
pub use version_gate::VersionGate;
