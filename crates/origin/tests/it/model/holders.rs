//! The observers of the model, which hold records that gateways can't append.

use lentil_core::Span;
use lentil_origin::{
    HOLDER_ANSWERS, HOLDERS, HOLDERS_ASKED, Holder, StreamKey, StreamRecord, rank_holders,
};
use rand::RngExt as _;

use super::{Id, MaybeVersion, Observer, RECORD_WAIT, State, Time, World, service};

/// How often an observer tries to append what it holds.
const HOLDER_APPEND_MS: u64 = 500;
/// How long new streams are placed where they need no record after nobody has taken one.
const UNRECORDED_TIME: Span = Span::from_s(5);

impl World {
    /// Further faults of appends and observers.
    pub(super) fn disturb_records(&mut self) {
        if self.setup.appends_fail && self.happens(20_000) {
            let span = self.ms(300, 9_000);
            self.store.appends_fail_until = self.now + span;
            self.note(|| format!("appends fail for {span}"));
        }
        if self.setup.cuts && self.happens(20_000) {
            let id = self.rng.random_range(0..self.gateways.len());
            let span = self.ms(300, 5_000);
            self.gateways[id].isolated_until = self.now + span;
            self.note(|| format!("gateway {id} reaches no observer for {span}"));
        }
        if self.setup.cuts && self.happens(15_000) {
            let id = self.rng.random_range(0..self.gateways.len());
            let span = self.ms(300, 9_000);
            self.gateways[id].refused_until = self.now + span;
            self.note(|| format!("the store turns gateway {id} away for {span}"));
        }
        if self.setup.cuts && self.happens(10_000) {
            let id = self.rng.random_range(0..self.engines.len());
            let span = self.ms(300, 9_000);
            self.engines[id].observer.cut_until = self.now + span;
            self.note(|| format!("the observer of {id} is cut from the store for {span}"));
        }
        if self.setup.crashes && self.happens(10_000) {
            let id = self.rng.random_range(0..self.engines.len());
            self.restart_observer(id);
        }
        if self.setup.power && self.happens(40_000) {
            self.note(|| "all observers lose power".into());
            (0..self.engines.len()).for_each(|id| self.restart_observer(id));
        }
    }

    fn restart_observer(&mut self, engine: Id) {
        self.note(|| format!("the observer of {engine} restarts"));
        let observer = &mut self.engines[engine].observer;
        *observer = Observer {
            boot: observer.boot + 1,
            cut_until: observer.cut_until,
            ..Observer::default()
        };
    }

    /// An observer appends what it holds.
    pub(super) fn step_observer(&mut self, engine: Id) {
        let now = self.now;
        if !self.is_alive(engine) || !self.happens(HOLDER_APPEND_MS) {
            return;
        }
        let reaches_store = self.store.away_until.has_passed(now) && self.takes_appends();
        let observer = &mut self.engines[engine].observer;
        if !reaches_store || !observer.cut_until.has_passed(now) {
            return;
        }
        let batch = observer.held.next_append(now);
        observer.held.record_appended(batch.len());
        self.appended_keys.extend(batch.iter().map(|it| it.key));
        self.appended.extend(batch.iter().map(|_| now));
        self.report
            .count("records appended by holders", batch.len() as u64);
        self.store
            .records
            .extend(batch.into_iter().map(|it| (now, it)));
    }

    /// The engines whose observers hold a stream's record, as this gateway ranks them.
    fn rank(&self, gateway: Id, key: &StreamKey) -> Vec<Id> {
        let gateway = &self.gateways[gateway];
        let listed = gateway.listed.iter().map(|(id, version)| Holder {
            endpoint: format!("i-{id}").parse().unwrap(),
            version: version.clone(),
            address: *id,
        });
        let default = gateway.origins.last_default(&service());
        let ranked = rank_holders(key, default, listed);
        ranked.into_iter().map(|holder| holder.address).collect()
    }

    /// Whether a call from a gateway to an observer succeeds.
    fn reaches_observer(&mut self, gateway: Id, engine: Id) -> bool {
        let is_cut = !self.gateways[gateway].isolated_until.has_passed(self.now);
        let is_lost = self.setup.slow_calls && self.rng.random_bool(0.02);
        self.is_alive(engine) && !is_cut && !is_lost
    }

    /// Has these observers hold a record, and returns those that do.
    fn hold_at(&mut self, gateway: Id, engines: &[Id], record: &StreamRecord) -> Vec<(Id, u64)> {
        let expires_at = self.now + self.setup.take_up();
        let mut holders = Vec::new();
        for engine in engines {
            if self.reaches_observer(gateway, *engine) {
                let observer = &mut self.engines[*engine].observer;
                let held = observer.held.hold(self.now, record.clone(), expires_at);
                holders.extend(held.is_ok().then_some((*engine, observer.boot)));
            }
        }
        holders
    }

    /// Has observers hold a record, and returns those that do.
    fn hold(&mut self, gateway: Id, record: &StreamRecord) -> Vec<(Id, u64)> {
        let mut holders = Vec::new();
        for group in self.rank(gateway, &record.key).chunks(HOLDERS) {
            holders.extend(self.hold_at(gateway, group, record));
            if holders.len() >= HOLDER_ANSWERS {
                break;
            }
        }
        holders
    }

    /// Has the first holders of a record that waits hold it again, as others may have left.
    pub(super) fn hold_again(&mut self, gateway: Id, record: &StreamRecord) {
        let stream = self.streams.iter().rposition(|it| it.key == record.key);
        let Some(stream) = stream.filter(|id| self.streams[*id].is_unrecorded) else {
            return;
        };
        let ranked = self.rank(gateway, &record.key);
        let held = self.hold_at(gateway, &ranked[..ranked.len().min(HOLDERS)], record);
        self.streams[stream].holders.extend(held);
    }

    /// What the holders of a stream answer; `None` if none of them does.
    pub(super) fn find_held(
        &mut self,
        gateway: Id,
        key: &StreamKey,
    ) -> Option<Option<MaybeVersion>> {
        let mut answered = 0;
        self.has_lost_holder = false;
        let ranked = self.rank(gateway, key);
        for group in ranked.chunks(HOLDERS_ASKED) {
            for engine in group {
                let is_reached = self.reaches_observer(gateway, *engine);
                let held = self.engines[*engine].observer.held.get(self.now, key);
                match held {
                    Some(version) if is_reached => return Some(Some(version.clone())),
                    Some(_) => self.has_lost_holder = true,
                    None => {}
                }
                answered += usize::from(is_reached);
            }
            if answered >= HOLDER_ANSWERS {
                break;
            }
        }
        (answered > 0 || ranked.is_empty()).then_some(None)
    }

    /// Passes on the first event of a stream that is not known to be recorded, if anybody holds its
    /// record, or if it can't be joined.
    pub(super) fn begin_unrecorded(&mut self, id: Id, since: Time) -> State {
        let stream = &mut self.streams[id];
        stream.is_unrecorded = true;
        let (place, key, version) = (stream.gateway, stream.key, stream.version.clone());
        self.gateways[place].failing = true;
        let record = StreamRecord {
            key,
            version: version.clone(),
        };
        let holders = self.hold(place, &record);
        if holders.is_empty() && self.now < since + RECORD_WAIT {
            return State::Starting {
                since,
                is_sent: true,
            };
        }
        self.note(|| {
            format!("stream {id} begins at gateway {place} and {version:?}, held by {holders:?}")
        });
        let gateway = &mut self.gateways[place];
        let must_begin_at = gateway.origins.unrecorded_version(&service());
        if holders.is_empty() && must_begin_at.is_some_and(|other| *other != version) {
            gateway.unrecorded_until = self.now + UNRECORDED_TIME;
            self.report.count("refused, not recorded", 1);
            return State::Done;
        }
        let what = if holders.is_empty() {
            "not held"
        } else {
            "held"
        };
        self.report.count(what, 1);
        self.streams[id].holders = holders;
        State::Running
    }

    /// Why the gateway that takes a stream up did not learn its version from those that hold its
    /// record; `None` if it should have.
    pub(super) fn missed_holders(&self, id: Id) -> Option<&'static str> {
        let stream = &self.streams[id];
        let listed = &self.gateways[stream.gateway].listed;
        let is_left = |(engine, boot): &&(Id, u64)| {
            self.is_alive(*engine)
                && self.engines[*engine].observer.boot == *boot
                && listed.iter().any(|(id, _)| id == engine)
        };
        let left: Vec<_> = stream.holders.iter().filter(is_left).collect();
        let ranked = self.rank(stream.gateway, &stream.key);
        let asked = &ranked[..ranked.len().min(HOLDERS_ASKED)];
        if stream.holders.is_empty() {
            Some("record not written, default gone when it began")
        } else if left.is_empty() {
            Some("record not written, holders lost")
        } else if !left.iter().any(|(engine, _)| asked.contains(engine)) {
            Some("record not written, holders behind others that joined")
        } else {
            self.has_lost_holder
                .then_some("record not written, answers of holders lost")
        }
    }
}
