//! Starts the measured programs, each in its own process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::str::FromStr;

use lentil_agent::Agent;
use lentil_core::Span;
use lentil_entry::Entry;
use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, FakeLog, HostListOptions, LogOptions};
use thiserror::Error;

/// Concurrent streams that the engine and the agent accept.
const SLOTS: u32 = 2_048;
/// KV cache blocks of the engine, enough that they never limit a run.
const BLOCKS: u32 = 4_000_000;
/// Interval between two tokens of a stream.
const TOKEN_INTERVAL: Span = Span::from_ms(20);
/// Model that the engine serves.
pub(crate) const MODEL: &str = "lentil-small";

/// A program that this binary can run as, selected with `--part`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// A fake engine that generates tokens at a steady rate.
    SteadyEngine,
    /// A fake engine whose streams stay open after the first token.
    IdleEngine,
    /// An agent that reads its settings from standard input.
    Agent,
    /// An entry that reads its settings from standard input.
    Entry,
}

/// The value of `--part` is not the name of a role.
#[derive(Debug, Error)]
#[error("expected steady, idle, agent or entry")]
pub(crate) struct ParseRoleError;

impl FromStr for Role {
    type Err = ParseRoleError;

    fn from_str(text: &str) -> Result<Self, ParseRoleError> {
        [
            Self::SteadyEngine,
            Self::IdleEngine,
            Self::Agent,
            Self::Entry,
        ]
        .into_iter()
        .find(|role| role.as_str() == text)
        .ok_or(ParseRoleError)
    }
}

impl Role {
    const fn as_str(self) -> &'static str {
        match self {
            Self::SteadyEngine => "steady",
            Self::IdleEngine => "idle",
            Self::Agent => "agent",
            Self::Entry => "entry",
        }
    }

    /// Runs this program until standard input is closed.
    pub(crate) fn run(self) -> eyre::Result<()> {
        match self {
            Self::SteadyEngine => {
                let engine = start_engine(None)?;
                print_address_and_wait(engine.address())
            }
            Self::IdleEngine => {
                let engine = start_engine(Some(1))?;
                print_address_and_wait(engine.address())
            }
            Self::Agent => {
                let agent = Agent::start(&lentil_settings::parse(&read_settings()?)?)?;
                print_address_and_wait(agent.peers())
            }
            Self::Entry => {
                let entry = Entry::start(&lentil_settings::parse(&read_settings()?)?)?;
                print_address_and_wait(entry.address())
            }
        }
    }
}

fn start_engine(stall_after_tokens: Option<u64>) -> eyre::Result<FakeEngine> {
    Ok(FakeEngine::start(EngineOptions {
        models: vec![MODEL.to_owned()],
        token_interval: TOKEN_INTERVAL,
        stall_after_tokens,
        prefill_time: Span::ZERO,
        slots: SLOTS,
        cache_blocks: BLOCKS,
        timestamps: true,
        ..EngineOptions::default()
    })?)
}

/// Reads settings from standard input up to an empty line.
fn read_settings() -> eyre::Result<String> {
    let mut text = String::new();
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        if line.is_empty() {
            break;
        }
        text.push_str(&line);
        text.push('\n');
    }
    Ok(text)
}

/// Prints the address and waits until standard input is closed.
fn print_address_and_wait(address: SocketAddr) -> eyre::Result<()> {
    println!("{address}");
    std::io::stdin().lock().read_to_end(&mut Vec::new())?;
    // Exits without a graceful stop, since the streams of an idle engine never end.
    std::process::exit(0)
}

/// How the fake engine generates tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineMode {
    /// Tokens at a steady rate.
    Steady,
    /// No token after the first; the stream stays open.
    Idle,
}

/// A child process that runs one role.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl ChildProcess {
    fn start(role: Role, settings: &str) -> eyre::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["overhead", "--part", role.as_str()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        if let Some(stdin) = &mut child.stdin {
            writeln!(stdin, "{settings}")?;
            stdin.flush()?;
        }
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line.trim().parse()?;
        Ok(Self { child, address })
    }

    /// Returns the process ID.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Engine, agent and entry, with the fake host list and log in this process.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) entry: ChildProcess,
    pub(crate) agent: ChildProcess,
    pub(crate) engine: ChildProcess,
    _hosts: FakeHostList,
    _log: FakeLog,
}

impl Deployment {
    pub(crate) fn start(engine_mode: EngineMode) -> eyre::Result<Self> {
        let hosts = FakeHostList::start(HostListOptions::default())?;
        let log = FakeLog::start(LogOptions::default())?;
        let common_settings = |name: &str| {
            format!(
                "name: {name}\nhost: h\nzone: z\nregion: r\n\
                 listen: {{callers: 127.0.0.1:0}}\nsecurity: {{anonymous_callers: true}}\n\
                 platform: {{log_url: 'http://{}', host_list_url: 'http://{}'}}\n",
                log.address(),
                hosts.address(),
            )
        };
        let engine_role = match engine_mode {
            EngineMode::Steady => Role::SteadyEngine,
            EngineMode::Idle => Role::IdleEngine,
        };
        let engine = ChildProcess::start(engine_role, "")?;
        let agent_settings = format!(
            "{}agent: {{kind: engine, endpoint_url: 'http://{}', models: [{MODEL}], \
             slots: {SLOTS}, cold_slots: {SLOTS}, blocks: {BLOCKS}}}\n",
            common_settings("engine"),
            engine.address,
        );
        let agent = ChildProcess::start(Role::Agent, &agent_settings)?;
        let entry_settings = format!("{}entry: {{workers: 2}}\n", common_settings("entry"));
        let entry = ChildProcess::start(Role::Entry, &entry_settings)?;
        Ok(Self {
            entry,
            agent,
            engine,
            _hosts: hosts,
            _log: log,
        })
    }

    pub(crate) fn stop(self) {
        drop(self);
    }
}
