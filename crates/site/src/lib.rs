//! A whole site in one process: stand-ins for the platform, the engines and a
//! plain service, agents beside them and entries before them.
//!
//! A [`SiteOptions`] says how many of each there are; [`Site::start`] starts them at
//! free ports of the loopback interface. The daemon's own code runs in every
//! agent and entry.

mod options;
mod site;

pub use options::SiteOptions;
pub use site::{MODEL, SERVICE, Site, SiteError};
