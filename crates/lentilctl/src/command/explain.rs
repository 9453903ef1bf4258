//! `lentilctl explain`: shows which endpoint has a generation.

use bpaf::Parser;
use lentil_core::GenerationId;

use crate::access::Access;
use crate::exit::Exit;
use crate::output::Table;

/// The generation to explain.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    generation: GenerationId,
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let generation = bpaf::positional::<GenerationId>("REQUEST")
        .help("A generation's identifier, ENDPOINT~BOOT~NUMBER, as its caller received it");
    bpaf::construct!(Options { generation })
        .to_options()
        .command("explain")
        .help("Show which endpoint has a generation, and its state")
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    let generation = options.generation;
    let hosts = access.hosts().await?;
    let host = hosts
        .iter()
        .find(|host| host.process == generation.endpoint);
    let ledger = access.ledger().await;
    let permits = host.zip(ledger.ok()).map(|(host, ledger)| {
        ledger
            .in_force()
            .is_none_or(|known| known.configuration.permits(&host.zone, &host.process))
    });
    let unknown = || "unknown".to_owned();
    let rows = [
        ("endpoint", generation.endpoint.to_string()),
        ("boot of its agent", generation.boot.to_string()),
        ("number", generation.number.to_string()),
        (
            "zone",
            host.map_or_else(unknown, |host| host.zone.to_string()),
        ),
        (
            "host",
            host.map_or_else(unknown, |host| host.host.to_string()),
        ),
        ("in the host list", host.is_some().to_string()),
        (
            "gets new work",
            permits.map_or_else(unknown, |permits| permits.to_string()),
        ),
    ];
    let rows = rows.map(|(name, value)| vec![name.to_owned(), value]);
    access
        .output
        .print(&Table::new(&["what", "value"], rows.to_vec()))?;
    Ok(if host.is_some() {
        Exit::Done
    } else {
        Exit::Failed
    })
}
