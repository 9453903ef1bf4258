//! Which endpoint loaded what, and who may order it.
//!
//! [`Planner`] derives changes from the demand by model and the preset in
//! force. [`ClaimTable`] folds a zone's order stream, so that all readers agree
//! which claims are granted and whose turn it is at the weight store.
//! [`ClaimHolder`] is an agent's side: it claims, waits, orders and settles what was
//! lost, for engines that refuse old fence numbers and for those that don't.

mod assignment;
mod claim_table;
mod event;
mod hold;
mod holder;
mod order;
mod plan;
mod record;
mod watch;

pub use assignment::{Assignment, ParseRoleError, Role};
pub use claim_table::{ClaimRefusal, ClaimTable, RecordEffect};
pub use event::{Action, ChangeRequest, ClaimHolderSettings, Counters, Event};
pub use holder::ClaimHolder;
pub use order::{Answer, CheckedOrder, EndpointStatus, EngineFencing, LeaseLapsed, Order};
pub use plan::{Change, ChangeReason, EndpointView, ModelPlan, Planner, PresetPlan, ZoneView};
pub use record::{Bounds, Claim, Record};
