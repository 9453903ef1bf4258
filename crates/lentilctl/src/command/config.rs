//! `lentilctl config`: publishes, checks and shows the whole configuration.

use std::path::{Path, PathBuf};

use bpaf::Parser;
use eyre::Context;
use lentil_config::{AcceptedChange, Change, Configuration, ConfigurationFile};
use lentil_core::ConfigVersion;

use crate::access::Access;
use crate::exit::Exit;
use crate::ledger_view::{in_force, parse_file};
use crate::operate::{self, ChangeOptions};
use crate::output::Table;

/// The subcommand and its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    Publish(ChangeOptions, PathBuf),
    Check(PathBuf),
    Show,
    History,
    Wait(Option<ConfigVersion>),
}

fn file() -> impl Parser<PathBuf> {
    bpaf::positional("FILE").help("Configuration in YAML, see schema/configuration.json")
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let (change, published) = (operate::options(), file());
    let publish = bpaf::construct!(change, published)
        .map(|(change, published)| Options::Publish(change, published))
        .to_options()
        .footer("Example: lentilctl config publish site.yaml --why \"first\" --wait")
        .command("publish")
        .help("Replace the whole configuration");
    let check = file()
        .map(Options::Check)
        .to_options()
        .command("check")
        .help("Check a file without publishing it");
    let show = bpaf::pure(Options::Show)
        .to_options()
        .command("show")
        .help("Print the configuration in force");
    let history = bpaf::pure(Options::History)
        .to_options()
        .command("history")
        .help("Show who changed what and why");
    let wait = bpaf::long("version")
        .help("The version to wait for; defaults to the newest")
        .argument::<ConfigVersion>("VERSION")
        .optional()
        .map(Options::Wait)
        .to_options()
        .command("wait")
        .help("Wait until a version is in force at all processes");
    bpaf::construct!([publish, check, show, history, wait])
        .to_options()
        .command("config")
        .help("The configuration as a whole")
}

fn load_file(path: &Path) -> eyre::Result<ConfigurationFile> {
    let context = || format!("reading the configuration from {}", path.display());
    let text = std::fs::read_to_string(path).wrap_err_with(context)?;
    parse_file(&text).wrap_err_with(context)
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    match options {
        Options::Publish(change, path) => {
            operate::execute_change(access, &change, Change::Replace(load_file(&path)?)).await
        }
        Options::Check(path) => {
            let checked = Configuration::try_from(load_file(&path)?);
            if let Err(error) = checked {
                println!("refused: {error}");
                return Ok(Exit::Refused);
            }
            println!("usable");
            Ok(Exit::Done)
        }
        Options::Show => {
            let ledger = access.ledger().await?;
            let file = ConfigurationFile::from(&in_force(&ledger)?.configuration);
            println!("{}", serde_json::to_string_pretty(&file)?);
            Ok(Exit::Done)
        }
        Options::History => history(access).await,
        Options::Wait(version) => {
            let version = match version {
                Some(version) => version,
                None => access.ledger().await?.version(),
            };
            let (confirmed, total) = operate::wait(access, version).await;
            println!("version {version} is in force at {confirmed} of {total} processes");
            Ok(if confirmed == total {
                Exit::Done
            } else {
                Exit::NotEverywhere
            })
        }
    }
}

async fn history(access: &Access) -> eyre::Result<Exit> {
    let ledger = access.ledger().await?;
    let row = |accepted: &AcceptedChange| {
        let record = &accepted.record;
        let change = serde_json::to_string(&record.change).unwrap_or_default();
        vec![
            accepted.version.to_string(),
            record.at_unix_ms.to_string(),
            record.by.clone(),
            record.why.clone(),
            change,
        ]
    };
    let mut rows: Vec<Vec<String>> = ledger.history().map(|accepted| row(accepted)).collect();
    if let Some(in_force) = ledger.in_force().filter(|_| rows.is_empty()) {
        let version = in_force.version.to_string();
        let (by, why) = (in_force.by.clone(), in_force.why.clone());
        rows.push(vec![version, String::new(), by, why, "whole".to_owned()]);
    }
    let head = ["version", "at (unix ms)", "by", "why", "change"];
    access.output.print(&Table::new(&head, rows))?;
    Ok(Exit::Done)
}
