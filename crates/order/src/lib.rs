//! Decides which model each endpoint should hold, and who may order it to change.
//!
//! [`Planner`] derives changes from the demand for each model and the preset in
//! force. [`ClaimTable`] is the state machine over the order stream of an
//! availability zone: all readers apply the same records, so they agree on which
//! claims are granted and which endpoints may fetch from the weight store.
//! [`ClaimHolder`] is the agent's side: it claims its endpoint, waits, sends the
//! order and recovers from lost answers. It supports engines that refuse old
//! fence numbers as well as engines that ignore them.

mod assignment;
mod claim_state;
mod claim_table;
mod event;
mod expiry;
mod holder;
mod order;
mod plan;
mod record;

pub use assignment::{Assignment, ParseRoleError, Role};
pub use claim_table::{ClaimRefusal, ClaimTable, RecordEffect};
pub use event::{Action, ChangeRequest, ClaimHolderSettings, Counters, Event};
pub use holder::ClaimHolder;
pub use order::{Answer, CheckedOrder, EndpointStatus, EngineFencing, LeaseLapsed, Order};
pub use plan::{Change, ChangeReason, EndpointView, ModelPlan, Planner, PresetPlan, ZoneView};
pub use record::{Bounds, Claim, Record};
