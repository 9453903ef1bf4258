//! `lentilctl preset`: shows presets and selects the one in force.

use bpaf::Parser;
use lentil_config::Change;
use lentil_core::PresetName;

use crate::access::Access;
use crate::exit::Exit;
use crate::ledger_view::{in_force, preset};
use crate::operate::{self, ChangeOptions};
use crate::output::Table;

/// The subcommand and its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    List,
    Show(PresetName),
    Diff(PresetName, PresetName),
    Use(ChangeOptions, PresetName),
}

fn name() -> impl Parser<PresetName> {
    bpaf::positional("PRESET").help("Name of a preset")
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let list = bpaf::pure(Options::List)
        .to_options()
        .command("list")
        .help("Show all presets and which is in force");
    let show = name()
        .map(Options::Show)
        .to_options()
        .command("show")
        .help("Show the content of a preset");
    let (first, second) = (name(), name());
    let diff = bpaf::construct!(first, second)
        .map(|(first, second)| Options::Diff(first, second))
        .to_options()
        .command("diff")
        .help("Show the lines in which two presets differ");
    let (change, used) = (operate::options(), name());
    let use_preset = bpaf::construct!(change, used)
        .map(|(change, used)| Options::Use(change, used))
        .to_options()
        .footer("Example: lentilctl preset use peak --why \"month end\" --wait")
        .command("use")
        .help("Put a preset in force");
    bpaf::construct!([list, show, diff, use_preset])
        .to_options()
        .command("preset")
        .help("Show presets and select the one in force")
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    if let Options::Use(change, name) = options {
        return operate::execute_change(access, &change, Change::UsePreset(name)).await;
    }
    let ledger = access.ledger().await?;
    let configuration = &in_force(&ledger)?.configuration;
    match options {
        Options::Show(name) => {
            let text = serde_json::to_string_pretty(preset(configuration, &name)?)?;
            println!("{text}");
        }
        Options::Diff(first, second) => {
            let first = serde_json::to_string_pretty(preset(configuration, &first)?)?;
            let second = serde_json::to_string_pretty(preset(configuration, &second)?)?;
            print_difference(&first, &second);
        }
        Options::List | Options::Use(..) => {
            let presets = configuration.presets();
            let row = |(name, preset): (PresetName, lentil_config::Preset)| {
                let state = if name == *presets.in_force_name() {
                    "in force"
                } else {
                    ""
                };
                vec![name.to_string(), state.to_owned(), preset.about]
            };
            let rows = presets.all().into_iter().map(row).collect();
            let table = Table::new(&["preset", "state", "about"], rows);
            access.output.print(&table)?;
        }
    }
    Ok(Exit::Done)
}

fn print_difference(first: &str, second: &str) {
    let print_unmatched = |lines: &str, others: &str, prefix: char| {
        for line in lines
            .lines()
            .filter(|line| !others.lines().any(|other| other == *line))
        {
            println!("{prefix} {line}");
        }
    };
    print_unmatched(first, second, '-');
    print_unmatched(second, first, '+');
}
