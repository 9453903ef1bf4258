//! Streams over gateways, versions and tries: a seeded simulation with the real [`Origins`] of
//! each gateway.
//!
//! `LENTIL_MODEL_SEEDS` sets the number of seeds, `LENTIL_SEED` the first one.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{Span, StoreEra, Time};
use lentil_feed::RestoreWatch;
use lentil_origin::{HeldRecords, Lookup, Origins, StreamKey, StreamRecord, VersionCounts};
use lentil_rollout::Version;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{key, service, version};

mod holders;

/// Runs of the test without `LENTIL_MODEL_SEEDS`, about two seconds.
const SEEDS: u64 = 300;
const WORKERS: u64 = 4;
const STEP: Span = Span::from_ms(50);
const CALL_TIMEOUT: Span = Span::from_ms(500);
/// How long a first event waits for its record.
const RECORD_WAIT: Span = Span::from_ms(500);
/// How long a look-up waits for the log, and how long it may last if the log answers.
const LOOK_UP_WAIT: Span = Span::from_ms(1_000);
const LOOK_UP_MAX: Span = Span::from_ms(400);
/// Longest lag of a gateway's list.
const LAG_MAX_MS: u64 = 1_500;
/// How long gateways keep records that a restore of the store may lose.
const LOST_MAX: Span = Span::from_s(10);
/// How long a gateway that appends again has its records held.
const APPEND_RETRY: Span = Span::from_ms(500);
/// Longest time for which a start waits until it is read whether a restore is over.
const START_WAIT: Span = Span::from_ms(100);
/// How often a gateway has its records held again.
const HOLD_INTERVAL_MS: u64 = 1_000;

type Id = usize;
type MaybeVersion = Option<Version>;

/// What may happen in a run; fewer kinds of fault make a shorter trace.
#[derive(Debug, Clone, Copy)]
struct Setup {
    seed: u64,
    /// The route's timeout, in which a stream begins, is taken up and ends.
    timeout: Span,
    gateways: usize,
    versions: usize,
    power: bool,
    crashes: bool,
    cuts: bool,
    away: bool,
    /// Appends fail while reads succeed, at all or for single gateways and observers.
    appends_fail: bool,
    slow_calls: bool,
    restore: bool,
}

impl Setup {
    fn take_up(&self) -> Span {
        self.timeout.times(2).max(Span::from_s(10))
    }

    /// How long the store keeps records.
    fn retention(&self) -> Span {
        self.take_up().times(2)
    }
}

struct Engine {
    version: MaybeVersion,
    is_listed: bool,
    ends_at: Time,
    observer: Observer,
}

/// The process beside an engine. It ends with it.
#[derive(Default)]
struct Observer {
    /// Number of its starts.
    boot: u64,
    held: HeldRecords,
    cut_until: Time,
}

#[derive(Clone)]
enum Call {
    ReadDefault,
    ReadRecords { from: usize },
    Change { at: usize, to: MaybeVersion },
    Append(Vec<StreamRecord>),
    ReadRestored,
}

enum Answer {
    Default {
        at: Option<MaybeVersion>,
        end: usize,
    },
    Records(Vec<StreamRecord>, usize),
    Changed,
    Restored(StoreEra),
    Appended(BTreeSet<StreamKey>),
}

enum Event {
    Arrive(Id, u64, Call, Time),
    Answered(Id, u64, Answer, Time, StoreEra),
}

#[derive(Default)]
struct Store {
    defaults: Vec<(Time, MaybeVersion)>,
    records: Vec<(Time, StreamRecord)>,
    away_until: Time,
    /// Until when appends of streams are refused.
    appends_fail_until: Time,
    /// Entries that lapsed while it was away are back by this time.
    lapsed_until: Time,
    is_lapsed: bool,
    restored: bool,
    /// Named in each answer.
    era: StoreEra,
    /// The last era whose restore is over, by the record in the log.
    restored_era: StoreEra,
}

struct Gateway {
    boot: u64,
    /// Not running before this time.
    ready_at: Time,
    origins: Origins,
    cut_until: Time,
    /// Until when the store refuses its calls; observers read the list and the default for it.
    refused_until: Time,
    /// Until when it reaches no observer.
    isolated_until: Time,
    /// Whether the last append failed.
    failing: bool,
    /// Until when new streams are placed where they need no record.
    unrecorded_until: Time,
    lag: Span,
    listed: Vec<(Id, MaybeVersion)>,
    listed_at: Time,
    /// Times out each kind of call: default, records, change, append, end of a restore.
    busy_until: [Time; 5],
    /// Whether the record of the last restore was read.
    has_read_restored: bool,
    wants_default: bool,
    wants_records: bool,
    default_end: usize,
    records_end: usize,
    queue: Vec<StreamRecord>,
    /// What was appended, to be appended again after a restore of the store.
    sent: Vec<(Time, StreamRecord)>,
    /// The first era that was known.
    first_era: Option<StoreEra>,
    watch: RestoreWatch,
    /// Until when calls of this gateway failed, were slow or lost their answers.
    fault_at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Starting { since: Time, is_sent: bool },
    Running,
    Waiting { until: Time },
    LookingUp { since: Time },
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Named {
    Right,
    Wrong,
    Not,
}

struct Stream {
    key: StreamKey,
    named: Named,
    version: MaybeVersion,
    gateway: Id,
    boot: u64,
    engine: Id,
    began_at: Time,
    deadline: Time,
    ends_at: Time,
    state: State,
    /// Its first event reached the caller before its record was known to be in the log.
    is_unrecorded: bool,
    /// The observers that hold its record, by engine, and their boots.
    holders: Vec<(Id, u64)>,
}

/// What was seen in one or more runs.
#[derive(Debug, Default)]
struct Report {
    counts: BTreeMap<&'static str, u64>,
    /// Streams joined or refused in spite of the records, by reason.
    joined: BTreeMap<&'static str, u64>,
    refused: BTreeMap<&'static str, u64>,
    /// With the seeds.
    violations: Vec<(u64, String)>,
}

impl Report {
    fn count(&mut self, what: &'static str, number: u64) {
        *self.counts.entry(what).or_default() += number;
    }

    fn add(&mut self, other: Self) {
        let own = [&mut self.counts, &mut self.joined, &mut self.refused];
        for (own, other) in own
            .into_iter()
            .zip([other.counts, other.joined, other.refused])
        {
            for (what, number) in other {
                *own.entry(what).or_default() += number;
            }
        }
        self.violations.extend(other.violations);
    }
}

struct World {
    setup: Setup,
    rng: ChaCha8Rng,
    now: Time,
    engines: Vec<Engine>,
    target: Vec<usize>,
    /// The lists of endpoints, by the time of their change.
    lists: Vec<(Time, Vec<(Id, MaybeVersion)>)>,
    store: Store,
    events: BTreeMap<(Time, u64), Event>,
    event_count: u64,
    gateways: Vec<Gateway>,
    streams: Vec<Stream>,
    appended: Vec<Time>,
    appended_keys: BTreeSet<StreamKey>,
    /// Whether the last look-up at observers lost a call to one that holds the record.
    has_lost_holder: bool,
    report: Report,
    trace: Option<Vec<String>>,
}

fn named_version(index: usize) -> MaybeVersion {
    Some(version(["v0", "v1", "v2", "v3"][index]))
}

impl Gateway {
    fn new(boot: u64, ready_at: Time, lag: Span) -> Self {
        Self {
            boot,
            ready_at,
            origins: Origins::default(),
            cut_until: Time::ZERO,
            refused_until: Time::ZERO,
            isolated_until: Time::ZERO,
            failing: false,
            unrecorded_until: Time::ZERO,
            lag,
            listed: Vec::new(),
            listed_at: Time::ZERO,
            busy_until: [Time::ZERO; 5],
            has_read_restored: false,
            wants_default: false,
            wants_records: false,
            default_end: 0,
            records_end: 0,
            queue: Vec::new(),
            sent: Vec::new(),
            first_era: None,
            watch: RestoreWatch::default(),
            fault_at: Time::ZERO,
        }
    }
}

impl World {
    fn new(setup: Setup, with_trace: bool) -> Self {
        let mut world = Self {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: Time::ZERO + Span::from_s(1),
            engines: Vec::new(),
            target: vec![0],
            lists: vec![(Time::ZERO, Vec::new())],
            store: Store::default(),
            events: BTreeMap::new(),
            event_count: 0,
            gateways: Vec::new(),
            streams: Vec::new(),
            appended: Vec::new(),
            appended_keys: BTreeSet::new(),
            has_lost_holder: false,
            report: Report::default(),
            trace: with_trace.then(Vec::new),
        };
        world.choose_target();
        for id in 0..setup.gateways {
            let lag = world.ms(200, LAG_MAX_MS);
            let ready_at = world.now + world.ms(0, 500);
            world.gateways.push(Gateway::new(id as u64, ready_at, lag));
        }
        world
    }

    fn ms(&mut self, from: u64, to: u64) -> Span {
        Span::from_ms(self.rng.random_range(from..=to))
    }

    /// Whether something that happens every `mean_ms` on average happens in this step.
    fn happens(&mut self, mean_ms: u64) -> bool {
        self.rng.random_range(0..mean_ms) < STEP.as_ms()
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now.as_us() / 1_000;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now:>6} ms  {}", line()));
        }
    }

    fn violate(&mut self, text: String) {
        self.note(|| format!("VIOLATION {text}"));
        self.report.violations.push((self.setup.seed, text));
    }

    fn is_up(&self, id: Id) -> bool {
        let gateway = &self.gateways[id];
        gateway.ready_at.has_passed(self.now) && !gateway.listed.is_empty()
    }

    fn reaches_store(&self, id: Id) -> bool {
        self.gateways[id].cut_until.has_passed(self.now)
            && self.gateways[id].refused_until.has_passed(self.now)
            && self.store.away_until.has_passed(self.now)
    }

    /// Whether the gateway reads the list and the default, from the store or through an observer.
    fn reads_list(&self, id: Id) -> bool {
        let gateway = &self.gateways[id];
        let relays = gateway.listed.iter().filter(|(engine, _)| {
            let observer = &self.engines[*engine].observer;
            self.is_alive(*engine) && observer.cut_until.has_passed(self.now)
        });
        let has_relay = gateway.isolated_until.has_passed(self.now) && relays.count() > 0;
        self.reaches_store(id)
            || (gateway.cut_until.has_passed(self.now)
                && self.store.away_until.has_passed(self.now)
                && has_relay)
    }

    /// Whether the store takes appends of streams.
    fn takes_appends(&self) -> bool {
        self.store.appends_fail_until.has_passed(self.now)
    }

    fn is_alive(&self, engine: Id) -> bool {
        !self.engines[engine].ends_at.has_passed(self.now)
    }

    /// A serving engine that the gateway knows, of this version or of any.
    fn choose(&mut self, gateway: Id, of: Option<&MaybeVersion>) -> Option<Id> {
        let listed = self.gateways[gateway].listed.iter();
        let fits = listed.filter(|(id, at)| self.is_alive(*id) && of.is_none_or(|of| of == at));
        let fits: Vec<Id> = fits.map(|(id, _)| *id).collect();
        (!fits.is_empty()).then(|| fits[self.rng.random_range(0..fits.len())])
    }

    fn run(mut self, duration: Span) -> (Report, Vec<String>) {
        let end = self.now + duration;
        while self.now < end && self.report.violations.is_empty() {
            self.change_engines();
            self.disturb();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.on_event(event);
            }
            for id in 0..self.gateways.len() {
                self.step_gateway(id);
            }
            for id in 0..self.engines.len() {
                self.step_observer(id);
            }
            if self.happens(200) {
                self.begin();
            }
            for id in 0..self.streams.len() {
                self.step_stream(id);
            }
            self.now = self.now + STEP;
        }
        (self.report, self.trace.unwrap_or_default())
    }

    fn choose_target(&mut self) {
        let count = if self.rng.random_bool(0.4) { 2 } else { 1 };
        let versions = 0..self.setup.versions;
        self.target = (0..count)
            .map(|_| self.rng.random_range(versions.clone()))
            .collect();
    }

    /// Brings the engines closer to the versions that should serve.
    fn change_engines(&mut self) {
        if self.happens(9_000) {
            self.choose_target();
        }
        let listed = |engine: &Engine, target: usize| {
            engine.is_listed && engine.version == named_version(target)
        };
        let missing = self
            .target
            .iter()
            .copied()
            .find(|target| self.engines.iter().filter(|it| listed(it, *target)).count() < 3);
        let is_lapsed = self.store.away_until.has_passed(self.now)
            && !self.store.lapsed_until.has_passed(self.now);
        let mut has_changed = is_lapsed != self.store.is_lapsed;
        self.store.is_lapsed = is_lapsed;
        if self.happens(400) || self.engines.is_empty() {
            if let Some(target) = missing {
                let version = named_version(target);
                self.engines.push(Engine {
                    version,
                    is_listed: true,
                    ends_at: Time::NEVER,
                    observer: Observer::default(),
                });
                has_changed = true;
            } else if let Some(surplus) = self.engines.iter().position(|it| {
                it.is_listed && !self.target.iter().any(|target| listed(it, *target))
            }) {
                self.engines[surplus].is_listed = false;
                self.engines[surplus].ends_at = self.now + self.ms(500, 2_000);
                has_changed = true;
            }
        }
        if self.setup.crashes && self.happens(6_000) {
            let engine = self.rng.random_range(0..self.engines.len());
            if self.engines[engine].is_listed {
                self.engines[engine].is_listed = false;
                self.engines[engine].ends_at = self.now;
                has_changed = true;
            }
        }
        if has_changed {
            let engines = self.engines.iter().enumerate();
            let listed = engines.filter(|(id, it)| it.is_listed && (!is_lapsed || id % 3 == 0));
            let list: Vec<_> = listed.map(|(id, it)| (id, it.version.clone())).collect();
            self.note(|| format!("endpoints {}", show(&list)));
            self.lists.push((self.now, list));
        }
    }

    fn disturb(&mut self) {
        if self.setup.power && self.happens(25_000) {
            self.note(|| "all gateways lose power".into());
            (0..self.gateways.len()).for_each(|id| self.restart(id));
        }
        if self.setup.power && self.happens(10_000) {
            let id = self.rng.random_range(0..self.gateways.len());
            self.restart(id);
        }
        if self.setup.cuts && self.happens(15_000) {
            let id = self.rng.random_range(0..self.gateways.len());
            let span = if self.rng.random_bool(0.3) {
                self.ms(5_000, 40_000)
            } else {
                self.ms(300, 5_000)
            };
            self.gateways[id].cut_until = self.now + span;
            self.note(|| format!("gateway {id} is cut from the store for {span}"));
        }
        if self.setup.away && self.happens(25_000) {
            let span = self.ms(300, 8_000);
            self.store.away_until = self.now + span;
            if self.rng.random_bool(0.5) {
                self.store.lapsed_until = self.store.away_until + self.ms(500, 2_000);
            }
            self.note(|| format!("store away for {span}"));
        }
        self.disturb_records();
        if self.setup.restore && self.happens(30_000) {
            let kept = self.now - self.ms(500, 5_000);
            self.store.away_until = self.now + Span::from_ms(500);
            self.store.defaults.retain(|(at, _)| *at < kept);
            self.store.records.retain(|(at, _)| *at < kept);
            self.store.restored = true;
            self.store.era = StoreEra::new(self.store.era.get() + 1);
            self.note(|| format!("store restored from {kept}"));
        }
    }

    fn restart(&mut self, id: Id) {
        let boot = self.gateways[id].boot + 100;
        let ready_at = self.now + self.ms(200, 2_000);
        let lag = self.ms(200, LAG_MAX_MS);
        self.note(|| format!("gateway {id} restarts until {ready_at}"));
        let before = &self.gateways[id];
        let links = (
            before.cut_until,
            before.refused_until,
            before.isolated_until,
        );
        let mut gateway = Gateway::new(boot, ready_at, lag);
        (
            gateway.cut_until,
            gateway.refused_until,
            gateway.isolated_until,
        ) = links;
        self.gateways[id] = gateway;
    }

    fn send(&mut self, id: Id, kind: usize, call: Call) {
        self.gateways[id].busy_until[kind] = self.now + CALL_TIMEOUT;
        let is_reached = match call {
            Call::ReadDefault => self.reads_list(id),
            Call::ReadRecords { .. }
            | Call::Change { .. }
            | Call::Append(_)
            | Call::ReadRestored => self.reaches_store(id),
        };
        if !is_reached {
            return;
        }
        // An append may wait in the store's queue, also longer than its caller waits.
        let is_slow = self.setup.slow_calls && kind >= 2 && self.rng.random_bool(0.05);
        let way = if is_slow {
            self.ms(100, 2_200)
        } else {
            self.ms(1, 10)
        };
        if is_slow {
            self.fail(id, self.now);
        }
        let event = Event::Arrive(id, self.gateways[id].boot, call, self.now);
        self.push(way, event);
    }

    fn fail(&mut self, id: Id, until: Time) {
        let gateway = &mut self.gateways[id];
        gateway.fault_at = gateway.fault_at.max(until);
    }

    fn push(&mut self, way: Span, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + way, self.event_count), event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive(id, boot, call, asked_at) => {
                let is_append = matches!(call, Call::Append(_));
                if !self.store.away_until.has_passed(self.now) || is_append && !self.takes_appends()
                {
                    return;
                }
                let answer = self.carry_out(id, call);
                if self.setup.slow_calls && self.rng.random_bool(0.02) {
                    self.fail(id, self.now);
                    return;
                }
                let way = self.ms(1, 10);
                self.push(
                    way,
                    Event::Answered(id, boot, answer, asked_at, self.store.era),
                );
            }
            Event::Answered(id, boot, answer, asked_at, era) if self.gateways[id].boot == boot => {
                self.on_era(id, era);
                if let Answer::Restored(restored) = &answer {
                    let watch = &mut self.gateways[id].watch;
                    watch.record_restored(self.now, *restored);
                }
                self.apply_restored_at(id);
                self.on_answer(id, answer, asked_at);
            }
            Event::Answered(..) => {}
        }
    }

    fn carry_out(&mut self, id: Id, call: Call) -> Answer {
        let now = self.now;
        let default = self.store.defaults.last().map(|(_, at)| at.clone());
        match call {
            Call::ReadDefault => Answer::Default {
                at: default,
                end: self.store.defaults.len(),
            },
            Call::ReadRecords { from } => {
                let end = self.store.records.len();
                // A position after a restored log's end was deleted; the reader begins again.
                let from = if from > end { 0 } else { from };
                let new = self.store.records[from..].iter();
                let kept = new.filter(|(at, _)| !(*at + self.setup.retention()).has_passed(now));
                Answer::Records(kept.map(|(_, it)| it.clone()).collect(), end)
            }
            Call::Change { at, to } => {
                if at == self.store.defaults.len() {
                    self.report.count("defaults written", 1);
                    self.note(|| format!("gateway {id} sets default {to:?}"));
                    self.store.defaults.push((now, to));
                }
                Answer::Changed
            }
            Call::ReadRestored => Answer::Restored(self.store.restored_era),
            Call::Append(records) => {
                let keys = records.iter().map(|it| it.key).collect();
                self.appended_keys.extend(records.iter().map(|it| it.key));
                self.appended.extend(records.iter().map(|_| now));
                self.report.count("records appended", records.len() as u64);
                self.store
                    .records
                    .extend(records.into_iter().map(|it| (now, it)));
                Answer::Appended(keys)
            }
        }
    }

    /// Checks that nothing is recorded while only the default serves and the log can be read.
    fn check_needed(&mut self, id: Id) {
        let default = self.store.defaults.last().map(|(_, at)| at);
        let span = self.setup.take_up() + Span::from_s(8);
        let gateway = &self.gateways[id];
        let since = self.now - span;
        let earlier = self
            .lists
            .iter()
            .rposition(|(at, _)| *at <= since)
            .unwrap_or(0);
        let mut served = self.lists[earlier..].iter().flat_map(|(_, list)| list);
        // The record of a stream that an observer holds is renewed when it is taken up.
        let renewed = |record: &StreamRecord| {
            let mut streams = self.streams.iter();
            streams.any(|it| it.key == record.key && it.is_unrecorded)
        };
        let is_only = served.all(|(_, at)| Some(at) == default);
        let changed_at = self.store.defaults.last().map(|(at, _)| *at);
        let calm = gateway.fault_at <= since && changed_at.is_some_and(|at| at <= since);
        if is_only && calm && self.now >= Time::ZERO + span && !gateway.queue.iter().all(renewed) {
            self.violate(format!(
                "gateway {id} records while only the default serves"
            ));
        }
    }

    /// Appends the gateway's own records of the last seconds again if the store was restored.
    fn on_era(&mut self, id: Id, era: StoreEra) {
        let now = self.now;
        let gateway = &mut self.gateways[id];
        let has_risen = gateway.watch.record_answer(now, era);
        let first_era = *gateway.first_era.get_or_insert(era);
        if has_risen && first_era != era {
            gateway.origins.forget_reads(now);
            gateway.records_end = 0;
            gateway.wants_default = true;
            let recent = gateway
                .sent
                .iter()
                .filter(|(at, _)| !(*at + LOST_MAX).has_passed(now));
            gateway.queue.extend(recent.map(|(_, it)| it.clone()));
        }
    }

    /// Takes over from when on the gateway's reads count.
    fn apply_restored_at(&mut self, id: Id) {
        let gateway = &mut self.gateways[id];
        let era = gateway.watch.era();
        let restored_at = gateway.watch.restored_at(era);
        if gateway.first_era == Some(era) {
            gateway.origins.start(restored_at);
        } else {
            gateway.origins.set_restored_at(restored_at);
        }
        if !restored_at.has_passed(self.now) {
            self.fail(id, restored_at);
        }
    }

    /// Writes that the restore of the store is over.
    fn write_restored(&mut self, id: Id) {
        let watch = &self.gateways[id].watch;
        let era = watch.era();
        let is_over = watch.restored_at(era).has_passed(self.now);
        if is_over && !watch.is_recorded() && self.takes_appends() && self.reaches_store(id) {
            self.store.restored_era = self.store.restored_era.max(era);
            self.gateways[id].watch.record_restored(self.now, era);
        }
    }

    fn on_answer(&mut self, id: Id, answer: Answer, asked_at: Time) {
        let now = self.now;
        let gateway = &mut self.gateways[id];
        match answer {
            Answer::Default { at, end } => {
                gateway.busy_until[0] = Time::ZERO;
                gateway.wants_default = false;
                gateway.default_end = end;
                let defaults = at.map(|at| (service(), at)).into_iter().collect();
                gateway.origins.record_defaults(asked_at, &defaults);
            }
            Answer::Records(records, end) => {
                gateway.busy_until[1] = Time::ZERO;
                gateway.wants_records = false;
                gateway.records_end = end;
                gateway.origins.record_read(now, records, Some(asked_at));
            }
            Answer::Changed => {
                gateway.busy_until[2] = Time::ZERO;
                gateway.wants_default = true;
            }
            Answer::Restored(_) => {
                gateway.busy_until[4] = Time::ZERO;
                gateway.has_read_restored = true;
            }
            Answer::Appended(done) => {
                gateway.busy_until[3] = Time::ZERO;
                gateway.failing = false;
                let (written, left) = gateway
                    .queue
                    .drain(..)
                    .partition(|it| done.contains(&it.key));
                gateway.queue = left;
                let written: Vec<StreamRecord> = written;
                gateway.sent.extend(written.into_iter().map(|it| (now, it)));
                let boot = gateway.boot;
                for stream in self.streams.iter_mut().rev().take(200) {
                    let is_own = stream.gateway == id && stream.boot == boot;
                    if is_own
                        && done.contains(&stream.key)
                        && matches!(stream.state, State::Starting { .. })
                    {
                        stream.state = State::Running;
                    }
                }
            }
        }
    }

    fn step_gateway(&mut self, id: Id) {
        let now = self.now;
        if !self.gateways[id].ready_at.has_passed(now) {
            return;
        }
        if !self.takes_appends() {
            self.fail(id, now);
        }
        if !self.reaches_store(id) {
            self.fail(id, now);
            let gateway = &mut self.gateways[id];
            gateway.watch.record_failure(now, now);
            gateway.origins.record_store_failure(now);
        }
        self.write_restored(id);
        if self.reads_list(id) && self.gateways[id].listed_at + Span::from_ms(250) <= now {
            let gateway = &mut self.gateways[id];
            let seen = now - gateway.lag;
            let list = self.lists.iter().rfind(|(at, _)| *at <= seen);
            gateway.listed = list.map(|(_, list)| list.clone()).unwrap_or_default();
            gateway.listed_at = now;
            let mut counts = VersionCounts::new();
            for (_, version) in &gateway.listed {
                *counts.entry(version.clone()).or_default() += 1;
            }
            gateway
                .origins
                .observe(now, &service(), counts, self.setup.timeout.times(2));
            gateway.origins.confirm_list(seen);
        }
        let recent = self.appended.iter().rev();
        let recent = recent
            .take_while(|at| {
                !(**at + self.setup.retention() + self.setup.take_up() + Span::from_s(1))
                    .has_passed(now)
            })
            .count();
        let gateway = &mut self.gateways[id];
        let kept = gateway.origins.record_count();
        let bound = recent + gateway.queue.len();
        if kept > bound && gateway.listed_at == now && !self.store.restored {
            self.violate(format!("gateway {id} keeps {kept} records of {bound}"));
        }
        let gateway = &mut self.gateways[id];
        let free = gateway.busy_until.map(|until| until.has_passed(now));
        gateway.wants_default |= gateway.origins.wants_defaults(now);
        let (wants_default, wants_records) = (gateway.wants_default, gateway.wants_records);
        let (from, at) = (gateway.records_end, gateway.default_end);
        let due = gateway.origins.due_change(now).filter(|_| free[2]);
        let queue = gateway.queue.clone();
        if !self.gateways[id].has_read_restored {
            if free[4] {
                self.send(id, 4, Call::ReadRestored);
            }
            if !(self.gateways[id].ready_at + START_WAIT).has_passed(now) {
                return;
            }
        }
        if wants_default && free[0] {
            self.send(id, 0, Call::ReadDefault);
        }
        if wants_records && free[1] {
            self.send(id, 1, Call::ReadRecords { from });
        }
        if let Some(change) = due {
            self.gateways[id].wants_default = true;
            self.send(
                id,
                2,
                Call::Change {
                    at,
                    to: change.version,
                },
            );
        }
        if self.happens(HOLD_INTERVAL_MS) {
            queue.iter().for_each(|record| self.hold_again(id, record));
        }
        if !queue.is_empty() && free[3] {
            self.check_needed(id);
            self.send(id, 3, Call::Append(queue));
        }
    }

    fn begin(&mut self) {
        let up: Vec<Id> = (0..self.gateways.len())
            .filter(|id| self.is_up(*id))
            .collect();
        if up.is_empty() {
            return;
        }
        let gateway = up[self.rng.random_range(0..up.len())];
        let at = {
            let gateway = &self.gateways[gateway];
            let needs_none = gateway.failing && !gateway.unrecorded_until.has_passed(self.now);
            let at = gateway.origins.unrecorded_version(&service());
            at.filter(|_| needs_none).cloned()
        };
        let Some(engine) = self.choose(gateway, at.as_ref()) else {
            return;
        };
        let id = self.streams.len();
        let named = match self.rng.random_range(0..20) {
            0 => Named::Not,
            1 => Named::Wrong,
            _ => Named::Right,
        };
        let ends_at = self.now + self.ms(500, self.setup.timeout.as_ms());
        self.streams.push(Stream {
            key: key(&id.to_string()),
            named,
            version: self.engines[engine].version.clone(),
            gateway,
            boot: self.gateways[gateway].boot,
            engine,
            began_at: self.now,
            deadline: self.now + self.setup.timeout,
            ends_at,
            state: State::Starting {
                since: self.now,
                is_sent: false,
            },
            is_unrecorded: false,
            holders: Vec::new(),
        });
        self.report.count("streams", 1);
    }

    fn step_stream(&mut self, id: Id) {
        let now = self.now;
        let stream = &self.streams[id];
        let (gateway, engine, state) = (stream.gateway, stream.engine, stream.state);
        let is_lost = self.gateways[gateway].boot != stream.boot;
        let next = match state {
            State::Done => return,
            _ if stream.deadline.has_passed(now) => State::Done,
            State::Starting { .. } if is_lost => State::Done,
            State::Starting { since, is_sent } => self.start(id, since, is_sent),
            State::Running if stream.ends_at.has_passed(now) => State::Done,
            State::Running => {
                let goes_on = if is_lost || self.happens(8_000) {
                    None
                } else if self.is_alive(engine) {
                    Some(engine)
                } else {
                    let version = self.streams[id].version.clone();
                    self.choose(gateway, Some(&version))
                };
                match goes_on {
                    Some(engine) => {
                        self.streams[id].engine = engine;
                        State::Running
                    }
                    None => State::Waiting {
                        until: now + self.ms(20, 1_000),
                    },
                }
            }
            State::Waiting { until } if !until.has_passed(now) => return,
            State::Waiting { .. } => {
                let gateway = self.rng.random_range(0..self.gateways.len());
                if !self.is_up(gateway) {
                    return;
                }
                self.report.count("take-ups", 1);
                self.streams[id].gateway = gateway;
                self.streams[id].boot = self.gateways[gateway].boot;
                self.look_up(id, now)
            }
            State::LookingUp { .. } if is_lost => State::Waiting {
                until: now + self.ms(20, 500),
            },
            State::LookingUp { since } => self.look_up(id, since),
        };
        self.streams[id].state = next;
    }

    /// The stream's first event has arrived and waits until its version is known to other gateways.
    fn start(&mut self, id: Id, since: Time, is_sent: bool) -> State {
        let now = self.now;
        let stream = &mut self.streams[id];
        let gateway = &mut self.gateways[stream.gateway];
        let version = stream.version.clone();
        if !is_sent
            && !gateway
                .origins
                .needs_record(now, &service(), version.as_ref())
        {
            self.note(|| format!("stream {id} begins at {version:?}, not recorded"));
            return State::Running;
        }
        if !is_sent && gateway.origins.wants_defaults(now) && now < since + Span::from_ms(300) {
            return State::Starting { since, is_sent };
        }
        if !is_sent {
            let record = StreamRecord {
                key: stream.key,
                version: version.clone(),
            };
            gateway.origins.insert(now, record.clone());
            gateway.queue.push(record);
        }
        if now < since + RECORD_WAIT && !gateway.failing {
            return State::Starting {
                since,
                is_sent: true,
            };
        }
        let has_fault = gateway.fault_at >= since - CALL_TIMEOUT - APPEND_RETRY;
        if !has_fault {
            self.violate(format!("stream {id} delivered without a record"));
        }
        let is_calm = self.gateways[self.streams[id].gateway].fault_at < since - CALL_TIMEOUT;
        let next = self.begin_unrecorded(id, since);
        if is_calm && next == State::Running && self.streams[id].holders.is_empty() {
            self.violate(format!(
                "stream {id} delivered without a record, held by nobody"
            ));
        }
        next
    }

    fn look_up(&mut self, id: Id, since: Time) -> State {
        let now = self.now;
        let stream = &self.streams[id];
        let began = stream.version.clone();
        let place = stream.gateway;
        let gateway = &self.gateways[place];
        let lookup = match stream.named {
            Named::Right => gateway.origins.look_up(now, &service(), &stream.key, since),
            Named::Wrong => gateway
                .origins
                .look_up(now, &service(), &key("wrong"), since),
            Named::Not => gateway.origins.look_up_unnamed(now, &service(), since),
        };
        self.note(|| format!("stream {id} of {began:?} at gateway {place}: {lookup:?}"));
        let key = self.streams[id].key;
        let is_recorded = self.gateways[place].origins.get(&key).is_some();
        let lookup = if is_recorded || self.streams[id].named != Named::Right {
            lookup
        } else {
            match self.find_held(place, &key) {
                Some(Some(at)) => Lookup::Began(at),
                Some(None) => lookup,
                None => {
                    self.fail(place, now);
                    Lookup::Unread {
                        default: true,
                        records: true,
                    }
                }
            }
        };
        let has_fault = self.gateways[place].fault_at >= since - CALL_TIMEOUT;
        match lookup {
            Lookup::Began(at) => self.take_up(id, since, &at),
            Lookup::Unknown => {
                self.report.count("refused, not named", 1);
                if self.streams[id].named != Named::Not {
                    self.violate(format!("stream {id} refused as unknown"));
                }
                State::Done
            }
            Lookup::Unread { default, records } => {
                let gateway = &self.gateways[place];
                let known = gateway.origins.look_up_without_log(now, &service(), since);
                if let Some(at) = known {
                    return self.take_up(id, since, &at);
                }
                if !has_fault && now >= since + LOOK_UP_MAX {
                    self.violate(format!(
                        "stream {id} not looked up though the log can be read"
                    ));
                }
                if now >= since + LOOK_UP_WAIT {
                    self.report.count("refused, log not read", 1);
                    return State::Waiting {
                        until: now + self.ms(100, 500),
                    };
                }
                let gateway = &mut self.gateways[place];
                gateway.wants_default |= default;
                gateway.wants_records |= records;
                State::LookingUp { since }
            }
        }
    }

    /// Goes on at a version, or refuses if it has no engine.
    fn take_up(&mut self, id: Id, since: Time, at: &MaybeVersion) -> State {
        let began = self.streams[id].version.clone();
        let place = self.streams[id].gateway;
        let engine = self.choose(place, Some(at));
        if *at == began {
            let Some(engine) = engine else {
                self.report.count("refused, version gone", 1);
                return State::Done;
            };
            self.report.count("went on", 1);
            self.streams[id].engine = engine;
            let stream = &self.streams[id];
            let gateway = &mut self.gateways[place];
            if gateway
                .origins
                .needs_record(self.now, &service(), at.as_ref())
                && stream.named == Named::Right
            {
                let record = StreamRecord {
                    key: stream.key,
                    version: began,
                };
                gateway.origins.insert(self.now, record.clone());
                gateway.queue.push(record);
            }
            return State::Running;
        }
        let serves = self.choose(place, Some(&began)).is_some();
        let stream = &self.streams[id];
        let mut written = self
            .store
            .records
            .iter()
            .filter(|(_, it)| it.key == stream.key);
        let was_written = written.any(|(at, _)| *at < since);
        let reason = if stream.named == Named::Wrong {
            "wrong attempt named"
        } else if stream.named == Named::Not && stream.is_unrecorded && !was_written {
            "no attempt named, record not written"
        } else if stream.is_unrecorded
            && !was_written
            && let Some(missed) = self.missed_holders(id)
        {
            missed
        } else if self.store.restored && self.appended_keys.contains(&stream.key) && !was_written {
            "store restored, record lost"
        } else if self.store.restored {
            "store restored, default lost"
        } else if stream.named == Named::Not && self.is_new(&began, stream.began_at) {
            "no attempt named, version new"
        } else {
            ""
        };
        match (engine.is_some(), reason) {
            (true, "") => self.violate(format!(
                "stream {id} began at {began:?} and goes on at {at:?}"
            )),
            (false, "") if serves => self.violate(format!(
                "stream {id} began at {began:?}, refused as one of {at:?}"
            )),
            (true, reason) => *self.report.joined.entry(reason).or_default() += 1,
            (false, reason) => *self.report.refused.entry(reason).or_default() += u64::from(serves),
        }
        State::Done
    }

    /// Whether the version may be missing from a gateway's list, as it appeared shortly before.
    fn is_new(&self, version: &MaybeVersion, at: Time) -> bool {
        let since = at - Span::from_ms(LAG_MAX_MS);
        let list = self
            .lists
            .iter()
            .rfind(|(changed_at, _)| *changed_at <= since);
        list.is_none_or(|(_, list)| list.iter().all(|(_, it)| it != version))
    }
}

fn show(list: &[(Id, MaybeVersion)]) -> String {
    let names = list.iter().map(|(id, at)| {
        let at = at.as_ref().map(ToString::to_string).unwrap_or_default();
        format!("{id}:{at}")
    });
    names.collect::<Vec<_>>().join(" ")
}

fn setup(seed: u64) -> Setup {
    Setup {
        seed,
        timeout: Span::from_s([1, 3, 8][(seed / 8 % 3) as usize]),
        gateways: 4,
        versions: 2 + (seed % 3) as usize,
        power: true,
        crashes: true,
        cuts: true,
        away: true,
        appends_fail: true,
        slow_calls: true,
        restore: seed % 8 == 7,
    }
}

const DURATION: Span = Span::from_s(90);

/// What was violated, without the versions.
fn kind(violation: &str) -> &str {
    let kinds = [
        "goes on at",
        "refused as",
        "delivered",
        "records",
        "not looked up",
    ];
    let kind = kinds.into_iter().find(|it| violation.contains(it));
    kind.unwrap_or_default()
}

/// Looks for a run with fewer kinds of fault that violates too, and returns its trace.
fn shrink(mut setup: Setup, wanted: &str) -> String {
    let simpler: [fn(&mut Setup); 9] = [
        |it| it.restore = false,
        |it| it.appends_fail = false,
        |it| it.slow_calls = false,
        |it| it.away = false,
        |it| it.cuts = false,
        |it| it.power = false,
        |it| it.crashes = false,
        |it| it.versions = 2,
        |it| it.gateways = 2,
    ];
    for simplify in simpler {
        let mut trial = setup;
        simplify(&mut trial);
        let found = (setup.seed..setup.seed + 150).find(|seed| {
            let run = World::new(
                Setup {
                    seed: *seed,
                    ..trial
                },
                false,
            )
            .run(DURATION);
            run.0.violations.iter().any(|it| kind(&it.1) == wanted)
        });
        if let Some(seed) = found {
            setup = Setup { seed, ..trial };
        }
    }
    let (report, trace) = World::new(setup, true).run(DURATION);
    let violation = &report.violations[0].1;
    let stream = violation
        .strip_prefix("stream ")
        .and_then(|it| it.split(' ').next());
    let own = format!("  stream {} ", stream.unwrap_or("-"));
    let fits = |line: &&String| !line.contains("  stream ") || line.contains(&own);
    let lines: Vec<_> = trace.iter().filter(fits).cloned().collect();
    let first = lines.len().saturating_sub(60);
    format!("{setup:?}\n{}", lines[first..].join("\n"))
}

/// Guards against streams that hold events of two versions, take-ups that are refused though their
/// version serves, and records that nobody needs.
#[test]
fn streams_keep_version() {
    let count = std::env::var("LENTIL_MODEL_SEEDS").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let first = lentil_scenario::seed();
    let run = |worker: u64| {
        let mut all = Report::default();
        let own = (first..first + count).filter(|seed| seed % WORKERS == worker);
        own.for_each(|seed| all.add(World::new(setup(seed), false).run(DURATION).0));
        all
    };
    let mut all = Report::default();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS)
            .map(|worker| scope.spawn(move || run(worker)))
            .collect();
        workers
            .into_iter()
            .for_each(|worker| all.add(worker.join().unwrap()));
    });
    println!(
        "{:#?} joined {:#?} refused {:#?}",
        all.counts, all.joined, all.refused
    );
    let by_kind: BTreeMap<_, _> = all
        .violations
        .iter()
        .map(|it| (kind(&it.1), it.0))
        .collect();
    for (kind, seed) in &by_kind {
        let number = all
            .violations
            .iter()
            .filter(|it| it.1.contains(kind))
            .count();
        println!(
            "{kind:?}: {number} runs, shrunk: {}",
            shrink(setup(*seed), kind)
        );
    }
    assert!(by_kind.is_empty(), "{:?}", all.violations);
    let has = |what| all.counts.get(what).is_some_and(|number| *number > 0);
    assert!(has("went on") && has("refused, version gone") && has("records appended"));
}
