//! Runs the daemon's subcommands as child processes.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, FakeLog, HostListOptions, LogOptions};
use lentil_site::MODEL;
use serde_json::Value;

/// Time allowed for a signal to take effect.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);

/// Time allowed for a log line to appear.
const LINE_TIMEOUT: Duration = Duration::from_secs(60);

/// A running daemon process, killed on drop.
pub(crate) struct DaemonProcess {
    child: Child,
    lines: Receiver<Value>,
    /// Log lines written before the line that reports the start.
    before_start: Vec<Value>,
    /// The log line that reports the start.
    pub(crate) started: Value,
}

impl DaemonProcess {
    /// Starts a process with the settings in `text`.
    pub(crate) fn start(role: &str, name: &str, text: &str) -> Self {
        let file = settings_file(name);
        std::fs::write(&file, text).unwrap();
        Self::spawn(role, &file, |_| {})
    }

    /// Starts a process and sends it SIGHUP while it reads its settings.
    pub(crate) fn start_with_hangup(role: &str, name: &str, text: &str) -> Self {
        let pipe = settings_file(name);
        drop(std::fs::remove_file(&pipe));
        let mkfifo_status = Command::new("mkfifo").arg(&pipe).status().unwrap();
        assert!(mkfifo_status.success());
        Self::spawn(role, &pipe, |child| {
            // Blocks until the process has opened the pipe for reading.
            let mut settings = std::fs::File::create(&pipe).unwrap();
            // A later reload reads a regular file instead of the pipe.
            std::fs::remove_file(&pipe).unwrap();
            std::fs::write(&pipe, text).unwrap();
            signal(child, "-HUP");
            std::thread::sleep(SIGNAL_DELAY);
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

    /// Returns an address from the log line that reports the start.
    pub(crate) fn address(&self, field: &str) -> SocketAddr {
        self.started["kvs"][field]
            .as_str()
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Waits for a log line whose message contains `part`; lines logged before the
    /// start count too.
    pub(crate) fn wait_for_line(&self, part: &str) -> Value {
        let logged_before_start = self
            .before_start
            .iter()
            .find(|line| message_contains(line, part));
        logged_before_start
            .cloned()
            .unwrap_or_else(|| wait_for(&self.lines, part, &mut Vec::new()))
    }

    /// Whether a log line with this text was written that no test has waited for.
    pub(crate) fn has_logged(&self, part: &str) -> bool {
        let before_start = self.before_start.iter().cloned();
        let mut lines = before_start.chain(self.lines.try_iter());
        lines.any(|line| message_contains(&line, part))
    }

    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
    }

    /// Sends a signal; `name` is an argument of `kill`, such as `-HUP`.
    pub(crate) fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Returns whether all threads of the process are stopped by a signal.
    pub(crate) fn is_paused(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        threads
            .filter_map(|thread| std::fs::read_to_string(thread.unwrap().path().join("stat")).ok())
            // The state follows the name, which is in parentheses.
            .all(|stat| stat.rsplit_once(") ").unwrap().1.starts_with('T'))
    }

    /// Returns whether the process has an io_uring file descriptor open.
    pub(crate) fn holds_io_uring(&self) -> bool {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        descriptors
            .filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok())
            .any(|target| target.to_string_lossy().contains("io_uring"))
    }

    /// Returns the number of open descriptors.
    pub(crate) fn open_descriptors(&self) -> usize {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        descriptors.count()
    }

    /// Returns the most memory that the process had in use, in KB.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Sends SIGTERM and returns the exit code.
    pub(crate) fn stop(mut self) -> Option<i32> {
        self.terminate();
        self.wait().code()
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for DaemonProcess {
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
    let kill_status = Command::new("kill").args([name, &id]).status().unwrap();
    assert!(kill_status.success());
}

fn message_contains(line: &Value, part: &str) -> bool {
    line["message"].as_str().unwrap_or("").contains(part)
}

/// Returns the first line whose message contains `part` and appends the lines before
/// it to `skipped`.
fn wait_for(lines: &Receiver<Value>, part: &str, skipped: &mut Vec<Value>) -> Value {
    let end = Instant::now() + LINE_TIMEOUT;
    while let Ok(line) = lines.recv_timeout(end.saturating_duration_since(Instant::now())) {
        if message_contains(&line, part) {
            return line;
        }
        skipped.push(line);
    }
    panic!("no log message contains {part:?}; skipped {skipped:?}");
}

/// An agent and an entry as child processes, with a fake engine, host list and log.
pub(crate) struct DaemonPair {
    pub(crate) entry: DaemonProcess,
    pub(crate) agent: DaemonProcess,
    pub(crate) engine: FakeEngine,
    _platform: FakePlatform,
}

/// A fake host list and log.
pub(crate) struct FakePlatform {
    _hosts: FakeHostList,
    _log: FakeLog,
}

impl DaemonPair {
    /// Starts both processes; `extra` is appended to the settings of each.
    pub(crate) fn start(test: &str, extra: &str) -> Self {
        let engine = FakeEngine::start(EngineOptions::default()).unwrap();
        let endpoint = format!(
            "kind: engine, endpoint_url: 'http://{}', models: [{MODEL}], cold_slots: 32",
            engine.address(),
        );
        let (entry, agent, platform) = start_pair(test, extra, &endpoint);
        Self {
            entry,
            agent,
            engine,
            _platform: platform,
        }
    }
}

/// Starts an agent for an endpoint, which its settings `endpoint` describe, and an entry.
/// `extra` is appended to the settings of each.
pub(crate) fn start_pair(
    test: &str,
    extra: &str,
    endpoint: &str,
) -> (DaemonProcess, DaemonProcess, FakePlatform) {
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
    let agent = format!("{}agent: {{{endpoint}, hold_ms: 500}}\n", common("engine"));
    let entry = format!("{}entry: {{}}\n", common("entry"));
    let agent = DaemonProcess::start("agent", &format!("{test}-agent"), &agent);
    let entry = DaemonProcess::start("entry", &format!("{test}-entry"), &entry);
    let platform = FakePlatform {
        _hosts: hosts,
        _log: log,
    };
    (entry, agent, platform)
}

/// Settings that allow callers without a key.
pub(crate) const ANONYMOUS_CALLERS: &str = "security: {anonymous_callers: true}\n";
