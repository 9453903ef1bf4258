//! Estimates the load of each role from the measured slopes and the size of the fleet.

use serde::Serialize;

use super::fit::Slope;

/// Size and load of the fleet.
mod fleet {
    pub(super) const ENTRIES: f64 = 360.0;
    pub(super) const REPLICAS: f64 = 600.0;
    pub(super) const REQUESTS_PER_S: f64 = 5_100.0;
    pub(super) const TOKENS_PER_S: f64 = 1_300_000.0;
    pub(super) const ORGANISATIONS: f64 = 9_200.0;
    pub(super) const CHANGES_PER_DAY: f64 = 460.0;
    pub(super) const DAY_S: f64 = 86_400.0;
    /// Interval between two tokens of a stream.
    pub(super) const TOKEN_INTERVAL_S: f64 = 0.032;
    /// Time to the first token.
    pub(super) const FIRST_TOKEN_S: f64 = 1.7;
    /// Links from an entry to agents, over all models.
    pub(super) const LINKS_PER_ENTRY: f64 = 40.0;
    pub(super) const QUEUE_MAX: f64 = 4_096.0;
    /// Mean number of tokens per output.
    pub(super) const OUTPUT_TOKENS: f64 = TOKENS_PER_S / REQUESTS_PER_S;
    /// How long a finished generation is retained.
    pub(super) const RETENTION_S: f64 = 60.0;
    /// Interval between two load reports of an agent on a link.
    pub(super) const LOAD_REPORT_INTERVAL_S: f64 = 4.0;
    /// Lines of the host list that change per day. The end and the start of a process count as one
    /// change each.
    pub(super) const HOST_CHANGES_PER_DAY: f64 = 2.0 * (290.0 + 6.0);
    pub(super) const SKETCHES_MAX: f64 = 1_024.0;
    pub(super) const PRIORITIES: f64 = 3.0;
    /// Replicas in the largest zone.
    pub(super) const ZONE_REPLICAS: f64 = 200.0;
}

/// Control overhead that a node may use.
mod budget {
    pub(super) const CORE_PERCENT: f64 = 1.1;
    pub(super) const MEMORY_BYTES: f64 = 64e6;
    pub(super) const BYTES_PER_S: f64 = 3_000.0;
}

/// Unit of the value of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Measure {
    /// Percentage of a core spent on serving requests, which is not control and has no budget.
    ServingPercent,
    /// Percentage of a core spent on control.
    CorePercent,
    Bytes,
    BytesPerS,
}

impl Measure {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::ServingPercent => "% core (serving)",
            Self::CorePercent => "% core",
            Self::Bytes => "B",
            Self::BytesPerS => "B/s",
        }
    }

    const fn budget(self) -> f64 {
        match self {
            Self::ServingPercent => f64::INFINITY,
            Self::CorePercent => budget::CORE_PERCENT,
            Self::Bytes => budget::MEMORY_BYTES,
            Self::BytesPerS => budget::BYTES_PER_S,
        }
    }
}

/// One line of the capacity estimate.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CapacityLine {
    pub(crate) role: &'static str,
    pub(crate) line: &'static str,
    /// Number of units, or of units per second, by which the slope is multiplied.
    pub(crate) count: f64,
    pub(crate) value: f64,
    pub(crate) measure: Measure,
    pub(crate) over: bool,
}

struct LineBuilder<'a> {
    slopes: &'a [Slope],
    lines: Vec<CapacityLine>,
}

impl LineBuilder<'_> {
    fn slope(&self, name: &str) -> f64 {
        let matching = self.slopes.iter().find(|slope| slope.name == name);
        matching.map_or(f64::NAN, |slope| slope.slope)
    }

    fn add(
        &mut self,
        role: &'static str,
        line: &'static str,
        count: f64,
        slope: &str,
        measure: Measure,
    ) {
        let slope = self.slope(slope);
        let value = match measure {
            Measure::Bytes | Measure::BytesPerS => count * slope,
            Measure::CorePercent | Measure::ServingPercent => count * slope / 1e9 * 100.0,
        };
        self.lines.push(CapacityLine {
            role,
            line,
            count,
            value,
            measure,
            over: value > measure.budget(),
        });
    }

    fn add_sums(&mut self) {
        for role in ["entry", "agent"] {
            for measure in [Measure::CorePercent, Measure::Bytes, Measure::BytesPerS] {
                let role_lines = self.lines.iter();
                let role_lines =
                    role_lines.filter(|line| line.role == role && line.measure == measure);
                let value = role_lines.map(|line| line.value).sum();
                self.lines.push(CapacityLine {
                    role,
                    line: "sum",
                    count: 1.0,
                    value,
                    measure,
                    over: value > measure.budget(),
                });
            }
        }
    }
}

/// Adds the lines that would replace the host list lines, which are over their budget, if only the
/// differences of the list were sent.
fn add_planned(lines: &mut LineBuilder<'_>) {
    let changes = host_list_changes_per_s();
    for role in ["entry, planned", "agent, planned"] {
        let line = "host list by differences";
        lines.add(role, line, changes, "host list: line", Measure::BytesPerS);
    }
}

/// Computes all lines of the capacity estimate.
pub(crate) fn lines(slopes: &[Slope]) -> Vec<CapacityLine> {
    let mut lines = LineBuilder {
        slopes,
        lines: Vec::new(),
    };
    add_entry_lines(&mut lines);
    add_agent_lines(&mut lines);
    lines.add_sums();
    add_planned(&mut lines);
    lines.lines
}

/// Load reports received by an entry per second.
fn reports_per_s() -> f64 {
    fleet::LINKS_PER_ENTRY / fleet::LOAD_REPORT_INTERVAL_S
}

/// Rate per second at which the host list is found changed when it is read.
fn host_list_changes_per_s() -> f64 {
    fleet::HOST_CHANGES_PER_DAY / fleet::DAY_S
}

fn keys_max() -> f64 {
    super::meter::to_f64(lentil_once::Limits::default().keys_max)
}

/// Open streams of the fleet: those that generate tokens and those that wait for the first one.
fn open_streams() -> f64 {
    fleet::TOKENS_PER_S * fleet::TOKEN_INTERVAL_S + fleet::REQUESTS_PER_S * fleet::FIRST_TOKEN_S
}

fn add_entry_lines(lines: &mut LineBuilder<'_>) {
    use Measure::{Bytes, BytesPerS, CorePercent, ServingPercent};
    let requests = fleet::REQUESTS_PER_S / fleet::ENTRIES;
    let tokens = fleet::TOKENS_PER_S / fleet::ENTRIES;
    let reports = reports_per_s();
    let host_lines = (fleet::ENTRIES + fleet::REPLICAS) * host_list_changes_per_s();
    let changes = fleet::CHANGES_PER_DAY / fleet::DAY_S;
    let mut add = |line, count, slope, measure| lines.add("entry", line, count, slope, measure);
    add(
        "requests routed",
        requests,
        "entry: request routed",
        ServingPercent,
    );
    add(
        "tokens passed on",
        tokens,
        "link: token encoded and decoded",
        ServingPercent,
    );
    add(
        "tokens delivered",
        tokens,
        "entry: token delivered",
        ServingPercent,
    );
    add(
        "load reports taken",
        reports,
        "entry: load report taken",
        CorePercent,
    );
    add(
        "load reports on links",
        reports,
        "link: load report",
        BytesPerS,
    );
    add(
        "host list read",
        host_lines,
        "host list: line read",
        CorePercent,
    );
    add(
        "host list on links",
        host_lines,
        "host list: line",
        BytesPerS,
    );
    add(
        "changes folded",
        changes,
        "configuration: change folded",
        CorePercent,
    );
    add(
        "changes on links",
        changes,
        "configuration: change on the link",
        BytesPerS,
    );
    add(
        "exchanges with peers",
        2.0,
        "configuration: idle exchange",
        BytesPerS,
    );
    add(
        "linked agents",
        fleet::LINKS_PER_ENTRY,
        "entry: known agent in a router",
        Bytes,
    );
    add(
        "listed endpoints",
        fleet::REPLICAS,
        "entry: listed endpoint",
        Bytes,
    );
    add(
        "waiting requests",
        fleet::QUEUE_MAX,
        "entry: organisation with a waiting request",
        Bytes,
    );
    add(
        "open streams",
        open_streams() / fleet::ENTRIES,
        "entry: open stream in a router",
        Bytes,
    );
    add(
        "organisations",
        fleet::ORGANISATIONS,
        "configuration: organisation in force",
        Bytes,
    );
}

fn add_agent_lines(lines: &mut LineBuilder<'_>) {
    use Measure::{Bytes, BytesPerS, CorePercent, ServingPercent};
    let requests = fleet::REQUESTS_PER_S / fleet::REPLICAS;
    let tokens = fleet::TOKENS_PER_S / fleet::REPLICAS;
    let reports = reports_per_s() * fleet::ENTRIES / fleet::REPLICAS;
    let host_lines = (fleet::ENTRIES + fleet::REPLICAS) * host_list_changes_per_s();
    let changes = fleet::CHANGES_PER_DAY / fleet::DAY_S;
    let sketched_organisations = fleet::ORGANISATIONS.min(fleet::SKETCHES_MAX / fleet::PRIORITIES);
    let retained = open_streams() / fleet::REPLICAS + requests * fleet::RETENTION_S;
    let planned_endpoints = fleet::ZONE_REPLICAS / 5.0;
    let mut add = |line, count, slope, measure| lines.add("agent", line, count, slope, measure);
    add(
        "requests admitted",
        requests,
        "agent: request admitted",
        ServingPercent,
    );
    add(
        "tokens journalled",
        tokens,
        "agent: token journalled",
        ServingPercent,
    );
    add(
        "tokens counted",
        tokens,
        "agent: token counted",
        ServingPercent,
    );
    add(
        "tokens passed on",
        tokens,
        "link: token encoded and decoded",
        ServingPercent,
    );
    add(
        "load reports on links",
        reports,
        "link: load report",
        BytesPerS,
    );
    add(
        "host list read",
        host_lines,
        "host list: line read",
        CorePercent,
    );
    add(
        "host list on links",
        host_lines,
        "host list: line",
        BytesPerS,
    );
    add(
        "changes folded",
        changes,
        "configuration: change folded",
        CorePercent,
    );
    add(
        "changes on links",
        changes,
        "configuration: change on the link",
        BytesPerS,
    );
    add(
        "exchanges with peers",
        2.0,
        "configuration: idle exchange",
        BytesPerS,
    );
    add(
        "plan of a zone every 5 s",
        planned_endpoints,
        "order: endpoint in a plan",
        CorePercent,
    );
    add(
        "running generations",
        open_streams() / fleet::REPLICAS,
        "agent: running generation",
        Bytes,
    );
    add(
        "tokens held",
        retained * fleet::OUTPUT_TOKENS,
        "agent: token held",
        Bytes,
    );
    add(
        "generations held",
        retained,
        "agent: generation held",
        Bytes,
    );
    add(
        "length sketches",
        sketched_organisations,
        "agent: organisation's length sketches",
        Bytes,
    );
    add(
        "order ledger",
        fleet::ZONE_REPLICAS,
        "order: endpoint in the ledger",
        Bytes,
    );
    add(
        "organisations",
        fleet::ORGANISATIONS,
        "configuration: organisation in force",
        Bytes,
    );
    add(
        "keys of a plain service",
        keys_max(),
        "claim: key remembered",
        Bytes,
    );
}
