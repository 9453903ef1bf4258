//! Startup and shutdown of a site: a complete deployment in one process, with real agents
//! and entries and with fakes of the platform, the engines and a plain service.

use std::net::SocketAddr;

use lentil_agent::{Agent, AgentError};
use lentil_entry::{Entry, EntryError};
use lentil_fakes::{
    FakeEngine, FakeError, FakeHostList, FakeLog, FakeService, FakeWeightStore, WeightStoreOptions,
};
use lentil_settings::SettingsError;
use thiserror::Error;

use crate::options::SiteOptions;

/// The model served by a site's engines.
pub const MODEL: &str = "lentil-small";
/// Name of a site's plain service.
pub const SERVICE: &str = "pickups";
/// Availability zones of a site.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// An error while starting or stopping a site.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A fake failed to start.
    #[error(transparent)]
    Fake(#[from] FakeError),
    /// The generated settings of a process are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An agent failed to start or stop.
    #[error(transparent)]
    Agent(#[from] AgentError),
    /// An entry failed to start or stop.
    #[error(transparent)]
    Entry(#[from] EntryError),
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// Entries, ordered by number.
    pub entries: Vec<Entry>,
    /// Agents: first those of the engines, then those of the plain service.
    pub agents: Vec<Agent>,
    /// Fake model engines.
    pub engines: Vec<FakeEngine>,
    /// Fake replicas of the plain service.
    pub services: Vec<FakeService>,
    /// The fake log service.
    pub log: FakeLog,
    /// The fake host list.
    pub hosts: FakeHostList,
    /// The fake weight store.
    pub weights: FakeWeightStore,
    options: SiteOptions,
}

impl Site {
    /// Starts the fakes, agents and entries.
    ///
    /// # Errors
    /// Fails if one of them can't start; those already started are dropped.
    pub fn start(options: SiteOptions) -> Result<Self, SiteError> {
        let mut site = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            log: FakeLog::start(options.log.clone())?,
            hosts: FakeHostList::start(options.hosts.clone())?,
            weights: FakeWeightStore::start(WeightStoreOptions::default())?,
            options,
        };
        for number in 0..site.options.engines {
            let engine = FakeEngine::start(site.options.engine.clone())?;
            let agent = site.start_engine_agent(number, engine.address())?;
            site.engines.push(engine);
            site.agents.push(agent);
        }
        for number in 0..site.options.services {
            let service = FakeService::start(site.options.service.clone())?;
            let agent = site.start_service_agent(number, service.address())?;
            site.services.push(service);
            site.agents.push(agent);
        }
        for number in 0..site.options.entries {
            let entry = site.start_entry(number)?;
            site.entries.push(entry);
        }
        Ok(site)
    }

    /// Starts the agent for engine `number`. The engine listens on `endpoint`.
    ///
    /// # Errors
    /// Fails if the agent can't start.
    pub fn start_engine_agent(
        &self,
        number: usize,
        endpoint: SocketAddr,
    ) -> Result<Agent, SiteError> {
        let lines = format!("kind: engine\n  models: [{MODEL}]");
        self.start_agent(&format!("engine-{number}"), number, endpoint, &lines)
    }

    /// Starts the agent for service replica `number`. The replica listens on `endpoint`.
    ///
    /// # Errors
    /// Fails if the agent can't start.
    pub fn start_service_agent(
        &self,
        number: usize,
        endpoint: SocketAddr,
    ) -> Result<Agent, SiteError> {
        let lines = format!("kind: service\n  service: {SERVICE}");
        self.start_agent(&format!("{SERVICE}-{number}"), number, endpoint, &lines)
    }

    fn start_agent(
        &self,
        name: &str,
        number: usize,
        endpoint: SocketAddr,
        lines: &str,
    ) -> Result<Agent, SiteError> {
        let extra_settings = indent_lines(&self.options.agent_settings);
        let text = format!(
            "{}agent:\n  endpoint_url: http://{endpoint}\n  {lines}\n{extra_settings}",
            self.common_settings(name, number),
        );
        Ok(Agent::start(&lentil_settings::parse(&text)?)?)
    }

    /// Starts entry `number`.
    ///
    /// # Errors
    /// Fails if the entry can't start.
    pub fn start_entry(&self, number: usize) -> Result<Entry, SiteError> {
        let extra_settings = indent_lines(&self.options.entry_settings);
        let text = format!(
            "{}security:\n  anonymous_callers: true\nentry:\n  workers: 2\n{extra_settings}",
            self.common_settings(&format!("entry-{number}"), number),
        );
        Ok(Entry::start(&lentil_settings::parse(&text)?)?)
    }

    fn common_settings(&self, name: &str, number: usize) -> String {
        let zone = ZONES.get(number % ZONES.len()).copied().unwrap_or_default();
        format!(
            "name: {name}\n\
             host: host-{name}\n\
             zone: {zone}\n\
             region: region-one\n\
             platform:\n  \
               log_url: http://{}\n  \
               host_list_url: http://{}\n  \
               weight_store_url: http://{}\n  \
               poll_interval_ms: 200\n\
             listen:\n  \
               callers: 127.0.0.1:0\n",
            self.log.address(),
            self.hosts.address(),
            self.weights.address(),
        )
    }

    /// Stops the entries and then the agents gracefully.
    ///
    /// # Errors
    /// Fails if one of their threads panicked.
    pub fn stop(self) -> Result<(), SiteError> {
        for entry in self.entries {
            entry.stop()?;
        }
        for agent in self.agents {
            agent.stop()?;
        }
        Ok(())
    }
}

fn indent_lines(lines: &[String]) -> String {
    lines.iter().map(|line| format!("  {line}\n")).collect()
}
