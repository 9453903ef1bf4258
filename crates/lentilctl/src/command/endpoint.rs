//! `lentilctl endpoint`: takes an endpoint out of service and returns it to service.

use bpaf::Parser;
use lentil_config::Change;
use lentil_core::EndpointId;
use lentil_platform::{HostRecord, HostRole, HostState};

use crate::access::Access;
use crate::exit::Exit;
use crate::operate::{self, ChangeOptions};
use crate::output::Table;

/// The subcommand and its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    Out(ChangeOptions, EndpointId),
    In(ChangeOptions, EndpointId),
    Status,
}

fn endpoint() -> impl Parser<EndpointId> {
    bpaf::positional("ENDPOINT").help("Name of an endpoint")
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let (change, name) = (operate::options(), endpoint());
    let out = bpaf::construct!(change, name)
        .map(|(change, name)| Options::Out(change, name))
        .to_options()
        .footer("Example: lentilctl endpoint out round-desk-2 --why \"new disk\" --wait")
        .command("out")
        .help("Stop giving an endpoint new work; running work finishes");
    let (change, name) = (operate::options(), endpoint());
    let return_to_service = bpaf::construct!(change, name)
        .map(|(change, name)| Options::In(change, name))
        .to_options()
        .command("in")
        .help("Give an endpoint new work again");
    let status = bpaf::pure(Options::Status)
        .to_options()
        .command("status")
        .help("Show all endpoints");
    bpaf::construct!([out, return_to_service, status])
        .to_options()
        .command("endpoint")
        .help("Take endpoints out of service and return them to service")
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    match options {
        Options::Out(change, name) => {
            operate::execute_change(access, &change, Change::EndpointOut(name)).await
        }
        Options::In(change, name) => {
            operate::execute_change(access, &change, Change::EndpointIn(name)).await
        }
        Options::Status => status(access).await,
    }
}

async fn status(access: &Access) -> eyre::Result<Exit> {
    let ledger = access.ledger().await?;
    let in_force = ledger.in_force();
    let state = |host: &HostRecord| {
        let permits = |configuration: &lentil_config::Configuration| {
            configuration.permits(&host.zone, &host.process)
        };
        match host.state {
            _ if !in_force.is_none_or(|known| permits(&known.configuration)) => "out",
            HostState::Leaving => "leaving",
            HostState::Live => "in",
        }
    };
    let row = |host: &HostRecord| {
        let models: Vec<&str> = host
            .models
            .iter()
            .map(lentil_core::ModelId::as_str)
            .collect();
        let service = host.service.as_ref().map(ToString::to_string);
        vec![
            host.process.to_string(),
            host.zone.to_string(),
            state(host).to_owned(),
            service.unwrap_or_else(|| models.join(" ")),
        ]
    };
    let hosts = access.hosts().await?;
    let agents = hosts.iter().filter(|host| host.role == HostRole::Agent);
    let table = Table::new(
        &["endpoint", "zone", "state", "serves"],
        agents.map(row).collect(),
    );
    access.output.print(&table)?;
    Ok(Exit::Done)
}
