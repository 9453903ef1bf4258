//! The lentiltray daemon. Each subcommand runs one role: entry, agent, gateway or observer.

mod command;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser};
use eyre::Context;
use lentil_shell::StopSignals;

use crate::command::{agent, check, entry, gateway, observer};

#[derive(Debug, Clone)]
enum Command {
    Entry(entry::Options),
    Agent(agent::Options),
    Check(check::Options),
    Gateway(gateway::Options),
    Observer(observer::Options),
}

fn options() -> OptionParser<Command> {
    let entry = entry::options()
        .map(Command::Entry)
        .to_options()
        .command("entry")
        .help("Serve callers on an entry host");
    let agent = agent::options()
        .map(Command::Agent)
        .to_options()
        .command("agent")
        .help("Serve one endpoint as its sidecar");
    let check = check::options()
        .map(Command::Check)
        .to_options()
        .command("check")
        .help("Validate settings without starting anything");
    let gateway = gateway::options()
        .map(Command::Gateway)
        .to_options()
        .command("gateway")
        .help("Forward callers' requests to the platform's endpoints");
    let observer = observer::options()
        .map(Command::Observer)
        .to_options()
        .command("observer")
        .help("Report the state of the local engine to gateways");
    bpaf::construct!([entry, agent, check, gateway, observer])
        .to_options()
        .descr("Serves model generations of unknown length on heavily loaded engines")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> eyre::Result<ExitCode> {
    let signals = StopSignals::listen().context("installing signal handlers")?;
    match options().run() {
        Command::Entry(options) => entry::execute(&options, signals),
        Command::Agent(options) => agent::execute(&options, signals),
        Command::Check(options) => Ok(check::execute(&options)),
        Command::Gateway(options) => gateway::execute(&options, signals),
        Command::Observer(options) => observer::execute(&options, signals),
    }
}
