//! Changes to the configuration: check, show the effect, publish and wait.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Parser;
use lentil_config::{Change, ChangeRecord, ConfigLedger, PublishOutcome};
use lentil_control::publish_change;
use lentil_core::{ConfigVersion, RecordId};
use lentil_platform::HostRecord;
use lentil_shell::Clock;
use serde::Serialize;

use crate::access::Access;
use crate::effect::Effect;
use crate::exit::Exit;

/// Time between two queries of the processes' versions.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

/// Options of commands that change the configuration.
#[derive(Debug, Clone)]
pub(crate) struct ChangeOptions {
    why: String,
    by: String,
    base: Option<ConfigVersion>,
    wait: bool,
    dry_run: bool,
    force: bool,
}

/// Returns the parser of these options.
pub(crate) fn options() -> impl Parser<ChangeOptions> {
    let why = bpaf::long("why")
        .help("The reason, kept in the history")
        .argument::<String>("TEXT");
    let by = bpaf::long("by")
        .env("USER")
        .help("Who requests the change")
        .argument::<String>("NAME")
        .fallback("operator".to_owned());
    let base = bpaf::long("base")
        .help("Change nothing unless this version is in force")
        .argument::<ConfigVersion>("VERSION")
        .optional();
    let wait = bpaf::long("wait")
        .help("Wait until the change is in force everywhere")
        .switch();
    let dry_run = bpaf::long("dry-run")
        .help("Show the effect and change nothing")
        .switch();
    let force = bpaf::long("force")
        .help("Apply the change even if it is dangerous")
        .switch();
    bpaf::construct!(ChangeOptions {
        why,
        by,
        base,
        wait,
        dry_run,
        force
    })
}

/// The result of a change, as printed.
#[derive(Debug, Serialize)]
struct Report {
    outcome: &'static str,
    version: ConfigVersion,
    detail: String,
    effect: Effect,
    /// Number of processes that have the change in force, and of all processes in
    /// the host list.
    in_force: Option<(usize, usize)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{}, version {}",
            self.effect, self.outcome, self.version
        )?;
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        if let Some((confirmed, total)) = self.in_force {
            write!(f, "\nin force at {confirmed} of {total} processes")?;
        }
        Ok(())
    }
}

/// Makes a change, or with `--dry-run` only shows its effect.
pub(crate) async fn execute_change(
    access: &Access,
    options: &ChangeOptions,
    change: Change,
) -> eyre::Result<Exit> {
    let ledger = access.ledger().await?;
    let hosts = access.hosts().await.unwrap_or_default();
    let before = ledger.in_force().map(|in_force| &in_force.configuration);
    let mut report = Report {
        outcome: "refused",
        version: ledger.version(),
        detail: String::new(),
        effect: Effect::default(),
        in_force: None,
    };
    match change.apply(before) {
        Ok(after) => report.effect = Effect::of(before, &after, &hosts),
        Err(error) => {
            report.detail = error.to_string();
            access.output.print(&report)?;
            return Ok(Exit::Refused);
        }
    }
    if !report.effect.dangers.is_empty() && !options.force {
        "use --force to apply it anyway".clone_into(&mut report.detail);
        access.output.print(&report)?;
        return Ok(Exit::Refused);
    }
    if options.dry_run {
        report.outcome = "dry run, nothing changed";
        access.output.print(&report)?;
        return Ok(Exit::Done);
    }
    let record = new_change_record(options, change);
    // The version that was checked must still be in force.
    let expected = options.base.or(Some(ledger.version()));
    let (result, ledger) = publish_change(&access.log, record, expected, access.timeout).await;
    let exit = apply_result(&mut report, result);
    if exit == Exit::Done {
        let exit = notify_and_wait(access, options, &hosts, &ledger, &mut report).await;
        access.output.print(&report)?;
        return Ok(exit);
    }
    access.output.print(&report)?;
    Ok(exit)
}

fn new_change_record(options: &ChangeOptions, change: Change) -> ChangeRecord {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_unix_ms = since_epoch.map_or(0, |since| since.as_millis());
    ChangeRecord {
        id: RecordId::new(rand::random()).to_string(),
        base: ConfigVersion::default(),
        by: options.by.clone(),
        why: options.why.clone(),
        at_unix_ms: u64::try_from(at_unix_ms).unwrap_or(0),
        change,
    }
}

fn apply_result(report: &mut Report, result: PublishOutcome) -> Exit {
    let (outcome, exit) = match result {
        PublishOutcome::Accepted(version) => {
            report.version = version;
            ("accepted", Exit::Done)
        }
        PublishOutcome::Superseded { version, by, why } => {
            report.version = version;
            report.detail =
                format!("{by} changed it first ({why}); check the new version and retry");
            ("lost, nothing changed", Exit::Lost)
        }
        PublishOutcome::Refused(error) => {
            report.detail = error.to_string();
            ("refused, nothing changed", Exit::Refused)
        }
        PublishOutcome::NotAppended => {
            "the log service did not respond".clone_into(&mut report.detail);
            ("not done, nothing changed", Exit::Failed)
        }
        PublishOutcome::Undecided => {
            "the log service did not respond; the change may still take effect, see `config history`"
                .clone_into(&mut report.detail);
            ("undecided", Exit::Undecided)
        }
        PublishOutcome::Unencodable => {
            ("refused, the change has no form in the log", Exit::Refused)
        }
    };
    report.outcome = outcome;
    exit
}

/// Notifies a few processes, and with `--wait` waits for all.
async fn notify_and_wait(
    access: &Access,
    options: &ChangeOptions,
    hosts: &[HostRecord],
    ledger: &ConfigLedger,
    report: &mut Report,
) -> Exit {
    access.notify_processes(hosts, ledger).await;
    if !options.wait {
        return Exit::Done;
    }
    let (confirmed, total) = wait(access, report.version).await;
    report.in_force = Some((confirmed, total));
    if confirmed == total {
        Exit::Done
    } else {
        Exit::NotEverywhere
    }
}

/// Waits until all processes have a version in force, or until the timeout.
///
/// Prints progress to standard error. Returns the number of processes that have
/// the version in force and the number of all processes.
pub(crate) async fn wait(access: &Access, version: ConfigVersion) -> (usize, usize) {
    let clock = Clock::start();
    let deadline = clock.now() + access.timeout;
    let mut last_counts = None;
    loop {
        let hosts = access.hosts().await.unwrap_or_default();
        let versions = access.versions(&hosts).await;
        let has = |known: &&Option<ConfigVersion>| known.is_some_and(|known| known >= version);
        let counts = (versions.values().filter(has).count(), versions.len());
        if last_counts != Some(counts) {
            eprintln!("in force at {} of {} processes", counts.0, counts.1);
            last_counts = Some(counts);
        }
        let is_done = counts.0 == counts.1 && counts.1 > 0;
        if is_done || deadline.has_passed(clock.now()) {
            return counts;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
