//! Command-line tool for operators.

mod access;
mod command;
mod effect;
mod exit;
mod ledger_view;
mod operate;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let invocation = command::options().run();
    match command::execute(invocation) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("lentilctl: {error:#}");
            exit::Exit::Failed.into()
        }
    }
}
