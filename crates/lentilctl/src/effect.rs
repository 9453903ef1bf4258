//! The effect of a change on the endpoints in the host list.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use lentil_config::Configuration;
use lentil_core::{EndpointId, Permille, Weight};
use lentil_platform::{HostRecord, HostRole, HostState};
use serde::Serialize;

/// The effect of a change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Effect {
    /// Endpoints that no longer get new work.
    pub(crate) closed: Vec<EndpointId>,
    /// Endpoints that get new work again.
    pub(crate) opened: Vec<EndpointId>,
    /// Models and services with the number of endpoints that serve them before and
    /// after the change.
    pub(crate) capacity: BTreeMap<String, (usize, usize)>,
    /// Reasons against the change, such as a model that is left without endpoints.
    pub(crate) dangers: Vec<String>,
}

impl Effect {
    /// Compares two configurations for the known hosts.
    pub(crate) fn of(
        before: Option<&Configuration>,
        after: &Configuration,
        hosts: &[HostRecord],
    ) -> Self {
        let mut effect = Self::default();
        for host in hosts.iter().filter(|host| is_live_agent(host)) {
            let was = before.is_none_or(|before| before.permits(&host.zone, &host.process));
            let is = after.permits(&host.zone, &host.process);
            if was && !is {
                effect.closed.push(host.process.clone());
            }
            if is && !was {
                effect.opened.push(host.process.clone());
            }
            for group in served_names(host) {
                let counts = effect.capacity.entry(group).or_default();
                counts.0 += usize::from(was);
                counts.1 += usize::from(is);
            }
        }
        effect.dangers = dangers(&effect.capacity, after, hosts);
        effect.capacity.retain(|_, (was, is)| was != is);
        effect
    }
}

fn is_live_agent(host: &HostRecord) -> bool {
    host.role == HostRole::Agent && host.state == HostState::Live
}

fn served_names(host: &HostRecord) -> BTreeSet<String> {
    let models = host.models.iter().map(|model| format!("model {model}"));
    let service = host.service.iter().map(|name| format!("service {name}"));
    models.chain(service).collect()
}

fn dangers(
    capacity: &BTreeMap<String, (usize, usize)>,
    after: &Configuration,
    hosts: &[HostRecord],
) -> Vec<String> {
    let left_without_endpoints = |(group, (was, is)): (&String, &(usize, usize))| {
        (*was > 0 && *is == 0).then(|| format!("no endpoint is left for {group}"))
    };
    let mut dangers: Vec<String> = capacity.iter().filter_map(left_without_endpoints).collect();
    let name = after.presets().in_force_name();
    if after.limits().endpoint_slots_permille == Permille::ZERO {
        dangers.push(format!("preset {name} leaves no slot of any endpoint"));
    }
    let zones: BTreeSet<_> = hosts.iter().map(|host| &host.zone).collect();
    let all_weights_zero = zones
        .iter()
        .all(|zone| after.zone_weight(zone) == Weight::ZERO);
    if !zones.is_empty() && all_weights_zero {
        dangers.push(format!(
            "preset {name} gives all availability zones weight 0"
        ));
    }
    dangers
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |names: &[EndpointId]| {
            let names: Vec<&str> = names.iter().map(EndpointId::as_str).collect();
            names.join(" ")
        };
        if !self.closed.is_empty() {
            writeln!(f, "no new work: {}", names(&self.closed))?;
        }
        if !self.opened.is_empty() {
            writeln!(f, "work again: {}", names(&self.opened))?;
        }
        for (group, (was, is)) in &self.capacity {
            writeln!(f, "{group}: {was} -> {is} endpoints")?;
        }
        self.dangers
            .iter()
            .try_for_each(|danger| writeln!(f, "danger: {danger}"))
    }
}
