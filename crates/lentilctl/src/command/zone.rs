//! `lentilctl zone`: takes an availability zone out of service and returns it to service.

use std::collections::{BTreeMap, BTreeSet};

use bpaf::Parser;
use lentil_config::Change;
use lentil_core::ZoneId;
use lentil_platform::{HostRole, HostState};

use crate::access::Access;
use crate::exit::Exit;
use crate::operate::{self, ChangeOptions};
use crate::output::Table;

/// The subcommand and its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    Out(ChangeOptions, ZoneId),
    In(ChangeOptions, ZoneId),
    Status,
}

fn zone() -> impl Parser<ZoneId> {
    bpaf::positional("ZONE").help("Name of an availability zone")
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let (change, name) = (operate::options(), zone());
    let out = bpaf::construct!(change, name)
        .map(|(change, name)| Options::Out(change, name))
        .to_options()
        .footer("Example: lentilctl zone out tosu-b --why \"power work\" --wait")
        .command("out")
        .help("Stop giving an availability zone new work; running work finishes");
    let (change, name) = (operate::options(), zone());
    let return_to_service = bpaf::construct!(change, name)
        .map(|(change, name)| Options::In(change, name))
        .to_options()
        .command("in")
        .help("Give an availability zone new work again");
    let status = bpaf::pure(Options::Status)
        .to_options()
        .command("status")
        .help("Show all availability zones");
    bpaf::construct!([out, return_to_service, status])
        .to_options()
        .command("zone")
        .help("Take availability zones out of service and return them to service")
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    match options {
        Options::Out(change, zone) => {
            operate::execute_change(access, &change, Change::ZoneOut(zone)).await
        }
        Options::In(change, zone) => {
            operate::execute_change(access, &change, Change::ZoneIn(zone)).await
        }
        Options::Status => status(access).await,
    }
}

async fn status(access: &Access) -> eyre::Result<Exit> {
    let ledger = access.ledger().await?;
    let zones_out: BTreeSet<ZoneId> = ledger
        .in_force()
        .map(|in_force| in_force.configuration.zones_out().clone())
        .unwrap_or_default();
    let mut zones: BTreeMap<ZoneId, [usize; 3]> = BTreeMap::new();
    for zone in &zones_out {
        zones.entry(zone.clone()).or_default();
    }
    for host in access.hosts().await? {
        let [entries, agents, leaving] = zones.entry(host.zone).or_default();
        *entries += usize::from(host.role == HostRole::Entry);
        *agents += usize::from(host.role == HostRole::Agent);
        *leaving += usize::from(host.state == HostState::Leaving);
    }
    let row = |(zone, counts): (&ZoneId, &[usize; 3])| {
        let state = if zones_out.contains(zone) {
            "out"
        } else {
            "in"
        };
        let counts = counts.iter().map(ToString::to_string);
        [zone.to_string(), state.to_owned()]
            .into_iter()
            .chain(counts)
            .collect()
    };
    let rows = zones.iter().map(row).collect();
    let head = ["zone", "state", "entries", "endpoints", "leaving"];
    access.output.print(&Table::new(&head, rows))?;
    Ok(Exit::Done)
}
