//! Runs the tool as an operator does.

use std::fmt::Write as _;
use std::process::{Command, Output};

use lentil_site::Site;

/// Number of attempts until all processes are in the host list.
const ATTEMPTS_MAX: u32 = 200;
/// Number of processes of a site.
const PROCESSES: usize = 7;

/// Runs the tool against a site and records its output.
pub(crate) struct Operator {
    log_url: String,
    host_list_url: String,
    transcript: String,
}

impl Operator {
    /// Waits until all processes are in the host list, and publishes the example
    /// configuration.
    pub(crate) fn new(site: &Site) -> Self {
        let operator = Self {
            log_url: format!("http://{}", site.log.address()),
            host_list_url: format!("http://{}", site.hosts.address()),
            transcript: String::new(),
        };
        for _ in 0..ATTEMPTS_MAX {
            let status = operator.call(&["status"]);
            let lines = String::from_utf8_lossy(&status.stdout).lines().count();
            if lines == PROCESSES + 1 {
                break;
            }
        }
        let example = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../examples/configuration.yaml"
        );
        let published = operator.call(&["config", "publish", example, "--why", "first", "--wait"]);
        assert_eq!(published.status.code(), Some(0), "{published:?}");
        operator
    }

    fn call(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_lentilctl"))
            .env("LENTILCTL_LOG_URL", &self.log_url)
            .env("LENTILCTL_HOST_LIST_URL", &self.host_list_url)
            .env("USER", "tanaka")
            .args(arguments)
            .output()
            .unwrap()
    }

    /// Runs the tool with space-separated arguments and returns its exit code.
    pub(crate) fn run(&mut self, line: &str) -> Option<i32> {
        let arguments: Vec<&str> = line.split(' ').collect();
        let output = self.call(&arguments);
        let code = output.status.code();
        let text = String::from_utf8_lossy(&output.stdout);
        let _ = writeln!(self.transcript, "$ lentilctl {line}\n{text}exit {code:?}\n");
        code
    }

    /// All commands with their output and exit codes.
    pub(crate) fn transcript(&self) -> &str {
        &self.transcript
    }
}
