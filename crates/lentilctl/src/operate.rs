//! Making a change: check, show, publish, wait.

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

/// Time between two looks at the processes.
const LOOK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

/// Options of commands that change something.
#[derive(Debug, Clone)]
pub(crate) struct ChangeOptions {
    why: String,
    by: String,
    base: Option<ConfigVersion>,
    wait: bool,
    dry_run: bool,
    force: bool,
}

/// Declares the options.
pub(crate) fn options() -> impl Parser<ChangeOptions> {
    let why = bpaf::long("why")
        .help("The reason, kept in the history")
        .argument::<String>("TEXT");
    let by = bpaf::long("by")
        .env("USER")
        .help("Who asks for it")
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
        .help("Change it although something speaks against it")
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

/// What is printed about a change.
#[derive(Debug, Serialize)]
struct Report {
    outcome: &'static str,
    version: ConfigVersion,
    detail: String,
    effect: Effect,
    /// Processes that have it in force, of all in the host list.
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
        if let Some((have, all)) = self.in_force {
            write!(f, "\nin force at {have} of {all} processes")?;
        }
        Ok(())
    }
}

/// Makes a change, or shows its effect.
pub(crate) async fn change(
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
        "give --force to do it all the same".clone_into(&mut report.detail);
        access.output.print(&report)?;
        return Ok(Exit::Refused);
    }
    if options.dry_run {
        report.outcome = "dry run, nothing changed";
        access.output.print(&report)?;
        return Ok(Exit::Done);
    }
    let record = record(options, change);
    // What was checked is what must still be in force.
    let expected = options.base.or(Some(ledger.version()));
    let (settled, ledger) = publish_change(&access.log, record, expected, access.timeout).await;
    let exit = describe(&mut report, settled);
    if exit == Exit::Done {
        let exit = follow(access, options, &hosts, &ledger, &mut report).await;
        access.output.print(&report)?;
        return Ok(exit);
    }
    access.output.print(&report)?;
    Ok(exit)
}

fn record(options: &ChangeOptions, change: Change) -> ChangeRecord {
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

fn describe(report: &mut Report, settled: PublishOutcome) -> Exit {
    let (outcome, exit) = match settled {
        PublishOutcome::Accepted(version) => {
            report.version = version;
            ("accepted", Exit::Done)
        }
        PublishOutcome::Superseded { version, by, why } => {
            report.version = version;
            report.detail = format!("{by} changed it first ({why}); look again and repeat");
            ("lost, nothing changed", Exit::Lost)
        }
        PublishOutcome::Refused(error) => {
            report.detail = error.to_string();
            ("refused, nothing changed", Exit::Refused)
        }
        PublishOutcome::NotAppended => {
            "the log service did not answer".clone_into(&mut report.detail);
            ("not done, nothing changed", Exit::Failed)
        }
        PublishOutcome::Undecided => {
            "the log service did not answer; the change may still come in force, see `config history`"
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

/// Tells a few processes, and with `--wait` waits for all.
async fn follow(
    access: &Access,
    options: &ChangeOptions,
    hosts: &[HostRecord],
    ledger: &ConfigLedger,
    report: &mut Report,
) -> Exit {
    access.hand_over(hosts, ledger).await;
    if !options.wait {
        return Exit::Done;
    }
    let (have, all) = wait(access, report.version).await;
    report.in_force = Some((have, all));
    if have == all {
        Exit::Done
    } else {
        Exit::NotEverywhere
    }
}

/// Waits until all processes have a version in force; progress goes to standard error.
pub(crate) async fn wait(access: &Access, version: ConfigVersion) -> (usize, usize) {
    let clock = Clock::start();
    let ends_at = clock.now() + access.timeout;
    let mut last = None;
    loop {
        let hosts = access.hosts().await.unwrap_or_default();
        let versions = access.versions(&hosts).await;
        let has = |known: &&Option<ConfigVersion>| known.is_some_and(|known| known >= version);
        let counts = (versions.values().filter(has).count(), versions.len());
        if last != Some(counts) {
            eprintln!("in force at {} of {} processes", counts.0, counts.1);
            last = Some(counts);
        }
        let is_done = counts.0 == counts.1 && counts.1 > 0;
        if is_done || ends_at.has_passed(clock.now()) {
            return counts;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
