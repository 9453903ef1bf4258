//! `lentilctl status`: shows which version each process has in force.

use bpaf::Parser;

use crate::access::Access;
use crate::exit::Exit;
use crate::output::Table;

/// The subcommand has no options of its own.
#[derive(Debug, Clone)]
pub(crate) struct Options;

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    bpaf::pure(Options)
        .to_options()
        .command("status")
        .help("Show which version each process has in force")
}

/// Runs the subcommand. It does not use the log, so it works while the log is down.
pub(crate) async fn execute(access: &Access, _options: Options) -> eyre::Result<Exit> {
    let hosts = access.hosts().await?;
    let versions = access.versions(&hosts).await;
    let newest = versions.values().flatten().max().copied();
    let row = |host: &lentil_platform::HostRecord| {
        let version = versions.get(&host.process).copied().flatten();
        let state = match version {
            None => "no answer",
            Some(_) if version == newest => "newest",
            Some(_) => "behind",
        };
        vec![
            host.process.to_string(),
            format!("{:?}", host.role).to_lowercase(),
            host.zone.to_string(),
            version.map_or_else(|| "-".to_owned(), |version| version.to_string()),
            state.to_owned(),
        ]
    };
    let rows = hosts.iter().map(row).collect();
    let head = ["process", "role", "zone", "version", "state"];
    access.output.print(&Table::new(&head, rows))?;
    let is_uniform = versions.values().all(|version| *version == newest);
    Ok(if is_uniform {
        Exit::Done
    } else {
        Exit::NotEverywhere
    })
}
