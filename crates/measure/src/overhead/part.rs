//! The programs under measurement, each a process of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::str::FromStr;

use lentil_agent::Agent;
use lentil_core::Span;
use lentil_entry::Entry;
use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, FakeLog, HostListOptions, LogOptions};
use thiserror::Error;

/// Streams that engine and agent bear.
const SLOTS: u32 = 2_048;
/// Cache blocks of the engine: never the limit here.
const BLOCKS: u32 = 4_000_000;
/// Time between two tokens of a stream.
const TOKEN: Span = Span::from_ms(20);
/// The model that the engine serves.
pub(crate) const MODEL: &str = "lentil-small";

/// A program that this one can be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// The engine's stand-in with steady tokens.
    Steady,
    /// The engine's stand-in whose streams stay open.
    Idle,
    /// An agent, with settings from standard input.
    Agent,
    /// An entry, with settings from standard input.
    Entry,
}

/// A text that names no part.
#[derive(Debug, Error)]
#[error("a part is steady, idle, agent or entry")]
pub(crate) struct ParsePartError;

impl FromStr for Part {
    type Err = ParsePartError;

    fn from_str(text: &str) -> Result<Self, ParsePartError> {
        [Self::Steady, Self::Idle, Self::Agent, Self::Entry]
            .into_iter()
            .find(|part| part.as_str() == text)
            .ok_or(ParsePartError)
    }
}

impl Part {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Idle => "idle",
            Self::Agent => "agent",
            Self::Entry => "entry",
        }
    }

    /// Is this program until standard input ends.
    pub(crate) fn run(self) -> eyre::Result<()> {
        match self {
            Self::Steady => {
                let engine = engine(None)?;
                serve(engine.address())
            }
            Self::Idle => {
                let engine = engine(Some(1))?;
                serve(engine.address())
            }
            Self::Agent => {
                let agent = Agent::start(&lentil_settings::parse(&settings()?)?)?;
                serve(agent.peers())
            }
            Self::Entry => {
                let entry = Entry::start(&lentil_settings::parse(&settings()?)?)?;
                serve(entry.address())
            }
        }
    }
}

fn engine(stall_after_tokens: Option<u64>) -> eyre::Result<FakeEngine> {
    Ok(FakeEngine::start(EngineOptions {
        models: vec![MODEL.to_owned()],
        token_interval: TOKEN,
        stall_after_tokens,
        prefill_time: Span::ZERO,
        slots: SLOTS,
        cache_blocks: BLOCKS,
        timestamps: true,
        ..EngineOptions::default()
    })?)
}

/// Reads settings up to an empty line.
fn settings() -> eyre::Result<String> {
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

/// Tells the address and stays until standard input ends.
fn serve(address: SocketAddr) -> eyre::Result<()> {
    println!("{address}");
    std::io::stdin().lock().read_to_end(&mut Vec::new())?;
    // The parts are not stopped gracefully: their streams may be endless.
    std::process::exit(0)
}

/// Whether the engine's streams flow or stay open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// Tokens come steadily.
    Steady,
    /// After the first token nothing comes.
    Idle,
}

/// One program as a process.
#[derive(Debug)]
pub(crate) struct Program {
    child: Child,
    pub(crate) address: SocketAddr,
}

impl Program {
    fn start(part: Part, settings: &str) -> eyre::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["overhead", "--part", part.as_str()])
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

    /// The process's number.
    pub(crate) fn process(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Engine, agent and entry, with a platform in this process.
#[derive(Debug)]
pub(crate) struct Programs {
    pub(crate) entry: Program,
    pub(crate) agent: Program,
    pub(crate) engine: Program,
    _hosts: FakeHostList,
    _log: FakeLog,
}

impl Programs {
    pub(crate) fn start(pace: Pace) -> eyre::Result<Self> {
        let hosts = FakeHostList::start(HostListOptions::default())?;
        let log = FakeLog::start(LogOptions::default())?;
        let common = |name: &str| {
            format!(
                "name: {name}\nhost: h\nzone: z\nregion: r\n\
                 listen: {{callers: 127.0.0.1:0}}\nsecurity: {{anonymous_callers: true}}\n\
                 platform: {{log_url: 'http://{}', host_list_url: 'http://{}'}}\n",
                log.address(),
                hosts.address(),
            )
        };
        let engine = match pace {
            Pace::Steady => Part::Steady,
            Pace::Idle => Part::Idle,
        };
        let engine = Program::start(engine, "")?;
        let agent = format!(
            "{}agent: {{kind: engine, endpoint_url: 'http://{}', models: [{MODEL}], \
             slots: {SLOTS}, cold_slots: {SLOTS}, blocks: {BLOCKS}}}\n",
            common("engine"),
            engine.address,
        );
        let agent = Program::start(Part::Agent, &agent)?;
        let entry = format!("{}entry: {{workers: 2}}\n", common("entry"));
        let entry = Program::start(Part::Entry, &entry)?;
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
