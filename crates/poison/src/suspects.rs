//! Who is suspect, and how much.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use lentil_core::{BootId, EndpointId, Fingerprint, Span, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::suspect_record::SuspectRecord;

/// Strikes of a crash that others were on board of.
const STRIKES_IN_COMPANY: u32 = 1;
/// Strikes of a crash that nobody else was on board of.
const STRIKES_ALONE: u32 = 2;

/// One crash of one endpoint; the same for everybody who saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(u64);

impl CrashId {
    /// The crash that ended this boot of an endpoint's engine.
    #[must_use]
    pub fn of(endpoint: &EndpointId, boot: BootId) -> Self {
        Self(xxh3_64_with_seed(endpoint.as_str().as_bytes(), boot.get()))
    }

    /// Wraps a number received from another process.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Bounds of [`Suspects`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most fingerprints remembered; the one that would be forgotten first
    /// makes place.
    pub suspects_max: usize,
    /// Most crashes remembered of a fingerprint.
    pub crashes_max: usize,
    /// Strikes after which a request is refused.
    pub strikes_max: u32,
    /// Most rumours in a message to a peer.
    pub records_max: usize,
    /// How long a suspicion lasts after its last crash.
    pub ttl: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            suspects_max: 1024,
            crashes_max: 8,
            strikes_max: 3,
            records_max: 64,
            ttl: Span::from_s(900),
        }
    }
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run with others.
    Clear,
    /// It may run alone.
    Suspect {
        /// Its strikes so far.
        strikes: u32,
    },
    /// It may not run.
    Refused,
}

/// What happened so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Crashes seen.
    pub crashes: u64,
    /// Suspicions dropped for lack of places.
    pub dropped: u64,
    /// Suspicions cleared by a run that ended well.
    pub cleared: u64,
}

#[derive(Debug, Clone)]
struct Suspect {
    /// Crashes, and whether the request was alone on board.
    crashes: BTreeMap<CrashId, bool>,
    cleared: BTreeSet<CrashId>,
    expires: Time,
}

impl Suspect {
    fn strikes(&self) -> u32 {
        self.crashes
            .iter()
            .filter(|(crash, _)| !self.cleared.contains(crash))
            .map(|(_, alone)| match alone {
                true => STRIKES_ALONE,
                false => STRIKES_IN_COMPANY,
            })
            .fold(0, u32::saturating_add)
    }
}

/// Requests under suspicion, by fingerprint.
#[derive(Debug)]
pub struct Suspects {
    limits: Limits,
    table: HashMap<Fingerprint, Suspect>,
    counters: Counters,
}

impl Suspects {
    /// Nobody is suspect.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            table: HashMap::new(),
            counters: Counters::default(),
        }
    }

    /// What happened so far.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Fingerprints remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// What may be done with a request of this fingerprint.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.table.get(&fingerprint).map_or(0, Suspect::strikes) {
            0 => Verdict::Clear,
            strikes if strikes >= self.limits.strikes_max => Verdict::Refused,
            strikes => Verdict::Suspect { strikes },
        }
    }

    /// An endpoint crashed with these requests on board.
    pub fn on_crash(&mut self, now: Time, crash: CrashId, on_board: &[Fingerprint]) {
        self.counters.crashes += 1;
        let alone = on_board.len() == 1;
        for fingerprint in on_board {
            self.strike(now, *fingerprint, crash, alone);
        }
    }

    /// A suspect that ran alone ended well.
    pub fn on_success(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.table.get_mut(&fingerprint) {
            suspect.cleared.extend(suspect.crashes.keys().copied());
            self.counters.cleared += 1;
        }
    }

    /// Takes what a peer says; saying it twice changes nothing.
    pub fn merge_record(&mut self, now: Time, rumour: &SuspectRecord) {
        for (crash, alone) in &rumour.crashes {
            self.strike(now, rumour.fingerprint, *crash, *alone);
        }
        if let Some(suspect) = self.table.get_mut(&rumour.fingerprint) {
            let known = rumour.cleared.iter().copied();
            suspect
                .cleared
                .extend(known.filter(|crash| suspect.crashes.contains_key(crash)));
        }
    }

    /// What peers should hear, those with most strikes first.
    #[must_use]
    pub fn records(&self) -> Vec<SuspectRecord> {
        let mut suspects: Vec<_> = self.table.iter().collect();
        suspects.sort_by_key(|(fingerprint, suspect)| {
            (std::cmp::Reverse(suspect.strikes()), **fingerprint)
        });
        suspects
            .into_iter()
            .take(self.limits.records_max)
            .map(|(fingerprint, suspect)| SuspectRecord {
                fingerprint: *fingerprint,
                crashes: suspect.crashes.clone(),
                cleared: suspect.cleared.clone(),
            })
            .collect()
    }

    /// Forgets suspicions that have lasted long enough.
    pub fn expire(&mut self, now: Time) {
        self.table
            .retain(|_, suspect| !suspect.expires.has_passed(now));
    }

    fn strike(&mut self, now: Time, fingerprint: Fingerprint, crash: CrashId, alone: bool) {
        let expires = now + self.limits.ttl;
        self.make_place(fingerprint);
        let suspect = self.table.entry(fingerprint).or_insert_with(|| Suspect {
            crashes: BTreeMap::new(),
            cleared: BTreeSet::new(),
            expires,
        });
        if suspect.crashes.contains_key(&crash) || suspect.crashes.len() >= self.limits.crashes_max
        {
            return;
        }
        suspect.crashes.insert(crash, alone);
        suspect.expires = expires;
    }

    fn make_place(&mut self, fingerprint: Fingerprint) {
        if self.table.contains_key(&fingerprint) || self.table.len() < self.limits.suspects_max {
            return;
        }
        let first = self
            .table
            .iter()
            .min_by_key(|(fingerprint, suspect)| (suspect.expires, **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.table.remove(&first);
            self.counters.dropped += 1;
        }
    }
}
