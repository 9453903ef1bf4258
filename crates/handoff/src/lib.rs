//! Moving running generations off an engine that leaves.
//!
//! A generation that can't be repeated is lost with its engine, unless its
//! memory is at another engine in time. [`Departure`] orders the work of one
//! entry at one leaving engine: it answers engines that are reclaimed with a
//! notice of a second or two, while copies queue on the engine's link.
//!
//! A copy is made while the generation goes on; the switch stops it, copies
//! only what has been added since and lets the other engine go on, so that the
//! reader's pause stays short. Copies end early enough to leave the link free
//! for the switches.

mod departure;

pub use departure::{Action, Departure, RunView};
