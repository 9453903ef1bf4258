//! How large a site is and how its parts behave.

use lentil_fakes::{EngineOptions, HostListOptions, LogOptions, ServiceOptions};

/// The parts of a site.
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// Entries.
    pub entries: usize,
    /// Model engines, each with an agent, spread over the availability zones.
    pub engines: usize,
    /// Replicas of the plain service, each with an agent.
    pub services: usize,
    /// How an engine behaves.
    pub engine: EngineOptions,
    /// How a replica of the plain service behaves.
    pub service: ServiceOptions,
    /// How the host list behaves.
    pub hosts: HostListOptions,
    /// How the log service behaves.
    pub log: LogOptions,
    /// Lines of YAML put under `agent` of each agent's settings.
    pub agent_settings: Vec<String>,
    /// Lines of YAML put under `entry` of each entry's settings.
    pub entry_settings: Vec<String>,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 3,
            services: 2,
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            hosts: HostListOptions::default(),
            log: LogOptions::default(),
            agent_settings: Vec::new(),
            entry_settings: Vec::new(),
        }
    }
}
