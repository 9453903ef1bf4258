//! The subcommands, one module each.

mod config;
mod endpoint;
mod explain;
mod old_system;
mod organisation;
mod preset;
mod status;
mod zone;

use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use bpaf::{OptionParser, Parser};
use ntex::rt::{DefaultRuntime, System};

use crate::access::{self, Access, AccessOptions};
use crate::exit::Exit;

/// The parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Invocation {
    access: AccessOptions,
    command: Command,
}

#[derive(Debug, Clone)]
enum Command {
    Config(config::Options),
    Endpoint(endpoint::Options),
    Explain(explain::Options),
    OldSystem(old_system::Options),
    Organisation(organisation::Options),
    Preset(preset::Options),
    Status(status::Options),
    Zone(zone::Options),
}

/// Returns the parser of all options and subcommands.
pub(crate) fn options() -> OptionParser<Invocation> {
    let access = access::options();
    let config = config::options().map(Command::Config);
    let endpoint = endpoint::options().map(Command::Endpoint);
    let explain = explain::options().map(Command::Explain);
    let old_system = old_system::options().map(Command::OldSystem);
    let organisation = organisation::options().map(Command::Organisation);
    let preset = preset::options().map(Command::Preset);
    let status = status::options().map(Command::Status);
    let zone = zone::options().map(Command::Zone);
    let command = bpaf::construct!([
        preset,
        zone,
        endpoint,
        organisation,
        old_system,
        config,
        status,
        explain
    ]);
    bpaf::construct!(Invocation { access, command })
        .to_options()
        .descr("Operates lentiltray: presets, availability zones, endpoints, organisations")
        .footer(
            "Exit codes: 0 done, 1 failed, 3 another operator changed it first, 4 refused, \
             5 undecided (the log did not respond), 6 accepted but not in force everywhere",
        )
}

/// Runs the command on its own ntex runtime.
pub(crate) fn execute(invocation: Invocation) -> eyre::Result<Exit> {
    let result = Arc::new(Mutex::new(None));
    let result_slot = Arc::clone(&result);
    System::build()
        .name("lentilctl")
        .disable_signals()
        .build(DefaultRuntime)
        .block_on(async move {
            let outcome = run(invocation).await;
            *result_slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(outcome);
        });
    let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
    result
        .take()
        .unwrap_or_else(|| Err(eyre::eyre!("the command ended without a result")))
}

async fn run(invocation: Invocation) -> eyre::Result<Exit> {
    let access = Rc::new(Access::new(&invocation.access).await?);
    match invocation.command {
        Command::Config(options) => config::execute(&access, options).await,
        Command::Endpoint(options) => endpoint::execute(&access, options).await,
        Command::Explain(options) => explain::execute(&access, options).await,
        Command::OldSystem(options) => old_system::execute(&access, options).await,
        Command::Organisation(options) => organisation::execute(&access, options).await,
        Command::Preset(options) => preset::execute(&access, options).await,
        Command::Status(options) => status::execute(&access, options).await,
        Command::Zone(options) => zone::execute(&access, options).await,
    }
}
