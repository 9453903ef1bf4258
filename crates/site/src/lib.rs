//! A complete site in one process, for tests and the quickstart: fakes of the
//! platform, the engines and a plain service, with real agents and entries.
//!
//! [`SiteOptions`] sets the number of each; [`Site::start`] starts them on free
//! ports of the loopback interface. The agents and entries run the same code as
//! the daemon.

mod options;
mod site;

pub use options::SiteOptions;
pub use site::{MODEL, SERVICE, Site, SiteError};
