//! `lentilctl old-system`: sets the share of requests that the old system serves
//! while it runs in parallel with this one.

use bpaf::Parser;
use lentil_config::Change;
use lentil_core::Permille;

use crate::access::Access;
use crate::exit::Exit;
use crate::operate::{self, ChangeOptions};

/// The share to set, and the options of the change.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    change: ChangeOptions,
    share: Permille,
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let change = operate::options();
    let share = bpaf::positional::<Permille>("PERMILLE").help("Share of requests, 0 to 1000");
    bpaf::construct!(Options { change, share })
        .to_options()
        .footer("Example: lentilctl old-system share 900 --why \"first tenth\" --wait")
        .command("share")
        .help("Set the share of requests that the old system serves")
        .to_options()
        .command("old-system")
        .help("The old system that runs in parallel with this one")
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    let change = Change::OldSystemShare(options.share);
    operate::execute_change(access, &options.change, change).await
}
