//! The control thread, which keeps a process's configuration and host list up to
//! date.
//!
//! [`Control::start`] runs the state machine of `lentil-config` on the platform's
//! log, its host list and the links to peers. Other threads read the configuration
//! in force through the [`ControlView`]. The listener for peers passes their
//! messages on through the [`PeerService`].

mod announce;
mod config_stream;
mod control;
mod error;
mod hosts;
mod peer;
mod publish;
mod read_budget;
mod view;

pub use announce::announce;
pub use config_stream::CONFIG_STREAM;
pub use control::{Control, ControlOptions};
pub use error::ControlError;
pub use peer::{PeerServer, PeerService};
pub use publish::{exchange_with_peer, publish_change, read_configuration};
pub use view::ControlView;
