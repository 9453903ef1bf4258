//! The table of suspects and their strikes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use lentil_core::{BootId, EndpointId, Fingerprint, Span, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::suspect_record::SuspectRecord;

/// Strikes for a crash while other requests were running at the endpoint.
const STRIKES_SHARED: u32 = 1;
/// Strikes for a crash while the request ran alone.
const STRIKES_ALONE: u32 = 2;

/// Identifies a crash of an endpoint; all observers of a crash derive the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(u64);

impl CrashId {
    /// Derives the id of the crash that ended a boot of an endpoint's engine.
    #[must_use]
    pub fn of(endpoint: &EndpointId, boot: BootId) -> Self {
        Self(xxh3_64_with_seed(endpoint.as_str().as_bytes(), boot.get()))
    }

    /// Creates an id from a number received from another process.
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

/// Limits of [`Suspects`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of suspects; when it is reached, the suspect that expires
    /// first is evicted.
    pub suspects_max: usize,
    /// Maximum number of crashes stored per suspect.
    pub crashes_max: usize,
    /// Number of strikes at which a request is refused.
    pub strikes_max: u32,
    /// Maximum number of records in a message to a peer.
    pub records_max: usize,
    /// How long a suspect is kept after its last crash.
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

/// How a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run together with others.
    Clear,
    /// The request may only run alone.
    Suspect {
        /// Number of strikes against it.
        strikes: u32,
    },
    /// The request must not run.
    Refused,
}

/// Event counters of [`Suspects`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Crashes recorded.
    pub crashes: u64,
    /// Suspects evicted because the table was full.
    pub dropped: u64,
    /// Suspects cleared by a successful run.
    pub cleared: u64,
}

#[derive(Debug, Clone)]
struct Suspect {
    /// Crashes, and whether the request ran alone at the endpoint.
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
                false => STRIKES_SHARED,
            })
            .fold(0, u32::saturating_add)
    }
}

/// Suspects by fingerprint.
#[derive(Debug)]
pub struct Suspects {
    limits: Limits,
    table: HashMap<Fingerprint, Suspect>,
    counters: Counters,
}

impl Suspects {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            table: HashMap::new(),
            counters: Counters::default(),
        }
    }

    /// The event counters.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of suspects, including cleared ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// How a request with this fingerprint may be run.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.table.get(&fingerprint).map_or(0, Suspect::strikes) {
            0 => Verdict::Clear,
            strikes if strikes >= self.limits.strikes_max => Verdict::Refused,
            strikes => Verdict::Suspect { strikes },
        }
    }

    /// Until when a request with this fingerprint is refused; `None` if it may run.
    #[must_use]
    pub fn refused_until(&self, fingerprint: Fingerprint) -> Option<Time> {
        let suspect = self.table.get(&fingerprint)?;
        (self.verdict(fingerprint) == Verdict::Refused).then_some(suspect.expires)
    }

    /// Records that an endpoint crashed while these requests were running there.
    pub fn on_crash(&mut self, now: Time, crash: CrashId, running: &[Fingerprint]) {
        self.counters.crashes += 1;
        let alone = running.len() == 1;
        for fingerprint in running {
            self.add_crash(now, *fingerprint, crash, alone);
        }
    }

    /// Clears a suspect that ran alone successfully.
    pub fn on_success(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.table.get_mut(&fingerprint) {
            suspect.cleared.extend(suspect.crashes.keys().copied());
            self.counters.cleared += 1;
        }
    }

    /// Merges a peer's record; merging a record again has no effect.
    pub fn merge_record(&mut self, now: Time, record: &SuspectRecord) {
        for (crash, alone) in &record.crashes {
            self.add_crash(now, record.fingerprint, *crash, *alone);
        }
        if let Some(suspect) = self.table.get_mut(&record.fingerprint) {
            let cleared = record.cleared.iter().copied();
            suspect
                .cleared
                .extend(cleared.filter(|crash| suspect.crashes.contains_key(crash)));
        }
    }

    /// The records to send to peers, those with the most strikes first.
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

    /// Removes suspects that have expired.
    pub fn expire(&mut self, now: Time) {
        self.table
            .retain(|_, suspect| !suspect.expires.has_passed(now));
    }

    fn add_crash(&mut self, now: Time, fingerprint: Fingerprint, crash: CrashId, alone: bool) {
        let expires = now + self.limits.ttl;
        self.make_room(fingerprint);
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

    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.table.contains_key(&fingerprint) || self.table.len() < self.limits.suspects_max {
            return;
        }
        let first_to_expire = self
            .table
            .iter()
            .min_by_key(|(fingerprint, suspect)| (suspect.expires, **fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = first_to_expire {
            self.table.remove(&evicted);
            self.counters.dropped += 1;
        }
    }
}
