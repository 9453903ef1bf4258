//! Programs of the daemon run as processes of their own.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, FakeLog, HostListOptions, LogOptions};
use lentil_site::MODEL;
use serde_json::Value;

/// Time in which a signal takes effect.
const HANGUP_TIME: Duration = Duration::from_millis(100);

/// A running program, killed when it is dropped.
pub(crate) struct Program {
    child: Child,
    lines: Receiver<Value>,
    /// Lines that were written before it had started.
    before_start: Vec<Value>,
    /// What it said when it had started.
    pub(crate) started: Value,
}

impl Program {
    /// Starts a program with the settings of `text`.
    pub(crate) fn start(role: &str, name: &str, text: &str) -> Self {
        let file = settings_file(name);
        std::fs::write(&file, text).unwrap();
        Self::spawn(role, &file, |_| {})
    }

    /// Starts a program that gets SIGHUP while it reads its settings.
    pub(crate) fn start_hung_up(role: &str, name: &str, text: &str) -> Self {
        let pipe = settings_file(name);
        drop(std::fs::remove_file(&pipe));
        let made = Command::new("mkfifo").arg(&pipe).status().unwrap();
        assert!(made.success());
        Self::spawn(role, &pipe, |child| {
            // Opens once the program has opened it too.
            let mut settings = std::fs::File::create(&pipe).unwrap();
            // What is read again later is an ordinary file.
            std::fs::remove_file(&pipe).unwrap();
            std::fs::write(&pipe, text).unwrap();
            signal(child, "-HUP");
            std::thread::sleep(HANGUP_TIME);
            settings.write_all(text.as_bytes()).unwrap();
        })
    }

    fn spawn(role: &str, file: &Path, while_starting: impl FnOnce(&Child)) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentiltray"))
            .args([role, "--settings"])
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in stdout.lines().map_while(Result::ok) {
                let _ = sender.send(serde_json::from_str(&line).unwrap_or(Value::String(line)));
            }
        });
        while_starting(&child);
        let mut before_start = Vec::new();
        let started = wait_for(&lines, "started", &mut before_start);
        Self {
            child,
            lines,
            before_start,
            started,
        }
    }

    /// An address that it told.
    pub(crate) fn address(&self, field: &str) -> SocketAddr {
        self.started["kvs"][field]
            .as_str()
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Waits for a log line, which may also have come before the start.
    pub(crate) fn wait_for_line(&self, part: &str) -> Value {
        let early = self.before_start.iter().find(|line| holds(line, part));
        early
            .cloned()
            .unwrap_or_else(|| wait_for(&self.lines, part, &mut Vec::new()))
    }

    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, as `kill` spells it.
    pub(crate) fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Whether one of the program's descriptors belongs to an io_uring.
    pub(crate) fn holds_io_uring(&self) -> bool {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        descriptors
            .filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok())
            .any(|target| target.to_string_lossy().contains("io_uring"))
    }

    /// Asks the program to stop and waits for its exit code.
    pub(crate) fn stop(mut self) -> Option<i32> {
        self.terminate();
        self.wait().code()
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"))
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([name, &id]).status().unwrap();
    assert!(sent.success());
}

fn holds(line: &Value, part: &str) -> bool {
    line["message"].as_str().unwrap_or("").contains(part)
}

/// The first line that holds `part`; those before it are added to `seen`.
fn wait_for(lines: &Receiver<Value>, part: &str, seen: &mut Vec<Value>) -> Value {
    for line in lines {
        if holds(&line, part) {
            return line;
        }
        seen.push(line);
    }
    panic!("no line with {part:?} among {seen:?}");
}

/// An engine with its agent, and an entry, as processes.
pub(crate) struct Programs {
    pub(crate) entry: Program,
    pub(crate) agent: Program,
    pub(crate) engine: FakeEngine,
    _hosts: FakeHostList,
    _log: FakeLog,
}

impl Programs {
    /// Starts them; `extra` are further sections of both settings.
    pub(crate) fn start(test: &str, extra: &str) -> Self {
        let engine = FakeEngine::start(EngineOptions::default()).unwrap();
        let hosts = FakeHostList::start(HostListOptions::default()).unwrap();
        let log = FakeLog::start(LogOptions::default()).unwrap();
        let common = |name: &str| {
            format!(
                "name: {name}\nhost: h\nzone: z\nregion: r\nlog: {{format: json}}\n\
                 platform: {{log_url: 'http://{}', host_list_url: 'http://{}', \
                 poll_interval_ms: 100}}\nlisten: {{callers: 127.0.0.1:0}}\n{extra}",
                log.address(),
                hosts.address(),
            )
        };
        let agent = format!(
            "{}agent: {{kind: engine, endpoint_url: 'http://{}', models: [{MODEL}], \
             cold_slots: 32, hold_ms: 500}}\n",
            common("engine"),
            engine.address(),
        );
        let entry = format!("{}entry: {{}}\n", common("entry"));
        let agent = Program::start("agent", &format!("{test}-agent"), &agent);
        let entry = Program::start("entry", &format!("{test}-entry"), &entry);
        Self {
            entry,
            agent,
            engine,
            _hosts: hosts,
            _log: log,
        }
    }
}

/// Callers need no key.
pub(crate) const ANONYMOUS: &str = "security: {anonymous_callers: true}\n";
