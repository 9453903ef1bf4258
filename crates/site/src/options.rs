//! Size of a site and behaviour of its fakes.

use lentil_fakes::{EngineOptions, HostListOptions, LogOptions, ServiceOptions};

/// Options of a [`Site`](crate::Site).
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with an agent, spread over the availability zones.
    pub engines: usize,
    /// Number of replicas of the plain service, each with an agent.
    pub services: usize,
    /// Behaviour of each fake engine.
    pub engine: EngineOptions,
    /// Behaviour of each fake replica of the plain service.
    pub service: ServiceOptions,
    /// Behaviour of the fake host list.
    pub hosts: HostListOptions,
    /// Behaviour of the fake log service.
    pub log: LogOptions,
    /// YAML lines to add to the `agent` section of each agent's settings.
    pub agent_settings: Vec<String>,
    /// YAML lines to add to the `entry` section of each entry's settings.
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
