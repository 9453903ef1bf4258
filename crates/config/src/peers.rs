//! Selects the processes that read the log and the peers to exchange with.

use lentil_core::{ProcessId, RegionId, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A process of the system, as the list of live processes shows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// The name of the process.
    pub name: ProcessId,
    /// The availability zone of the process.
    pub zone: ZoneId,
    /// The region of the process.
    pub region: RegionId,
    /// The address on which it serves peers, as IP:PORT.
    pub address: String,
}

/// Seed that keeps the hash for reader selection independent of other hashes.
const READER_SEED: u64 = 0x7265_6164;

fn reader_hash(peer: &Peer) -> (u64, &ProcessId) {
    let hash = xxh3_64_with_seed(peer.name.as_str().as_bytes(), READER_SEED);
    (hash, &peer.name)
}

/// Returns whether `local` is one of the `per_zone` processes of its availability
/// zone that read the log.
#[must_use]
pub fn is_log_reader(local: &Peer, live: &[Peer], per_zone: usize) -> bool {
    let local_hash = reader_hash(local);
    let lower = live
        .iter()
        .filter(|peer| peer.zone == local.zone && reader_hash(peer) < local_hash)
        .count();
    lower < per_zone
}

/// Returns the number of live processes whose hash is lower than that of `local`.
pub(crate) fn reader_rank(local: &Peer, live: &[Peer]) -> u64 {
    let local_hash = reader_hash(local);
    let lower = live.iter().filter(|peer| reader_hash(peer) < local_hash);
    u64::try_from(lower.count()).unwrap_or(u64::MAX)
}

/// The known peers, with a pseudo-random generator for choosing among them.
#[derive(Debug, Clone)]
pub(crate) struct PeerTable {
    all: Vec<Peer>,
    same_zone: Vec<Peer>,
    counter: u64,
    seed: u64,
}

impl PeerTable {
    pub(crate) const fn new(seed: u64) -> Self {
        Self {
            all: Vec::new(),
            same_zone: Vec::new(),
            counter: 0,
            seed,
        }
    }

    /// Replaces the list of live processes and keeps at most `max` of them.
    ///
    /// Returns whether the list was truncated.
    pub(crate) fn replace(&mut self, local: &Peer, live: Vec<Peer>, max: usize) -> bool {
        self.all = live
            .into_iter()
            .filter(|peer| peer.name != local.name)
            .collect();
        self.all.sort();
        let is_truncated = self.all.len() > max;
        self.all.truncate(max);
        let same_zone = self.all.iter().filter(|peer| peer.zone == local.zone);
        self.same_zone = same_zone.cloned().collect();
        is_truncated
    }

    pub(crate) fn all(&self) -> &[Peer] {
        &self.all
    }

    /// Returns the next number of the pseudo-random sequence.
    pub(crate) fn next_random(&mut self) -> u64 {
        self.counter = self.counter.wrapping_add(1);
        xxh3_64_with_seed(&self.counter.to_le_bytes(), self.seed)
    }

    /// Returns a random peer.
    pub(crate) fn random_peer(&mut self) -> Option<Peer> {
        let random = self.next_random();
        pick(&self.all, random)
    }

    /// Returns a random peer in the same availability zone, or any peer if there is none.
    pub(crate) fn random_same_zone_peer(&mut self) -> Option<Peer> {
        if self.same_zone.is_empty() {
            return self.random_peer();
        }
        let random = self.next_random();
        pick(&self.same_zone, random)
    }
}

fn pick(peers: &[Peer], random: u64) -> Option<Peer> {
    let count = u64::try_from(peers.len()).ok()?;
    let index = random.checked_rem(count)?;
    peers.get(usize::try_from(index).ok()?).cloned()
}
