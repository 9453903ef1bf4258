//! Counters of how requests fare at the old and the target version.

use std::collections::BTreeMap;

use lentil_core::{Span, ZoneId};

/// Maximum number of rows. Each gateway sends its rows to one observer per zone every
/// 400 ms.
const ROWS_MAX: usize = 64;
/// Rows that are kept free for requests whose own row does not fit, one for each side.
const ROWS_RESERVED: usize = 2;
/// Route and zone of the row for what does not fit.
const OVERFLOW_NAME: &str = "*";

/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = 32;

/// The shortest latency that belongs to bucket `index`.
///
/// The first bucket starts at zero and the second at 1 ms; from there on each starts at
/// the square root of two times the start of the one before, up to 33 s.
#[must_use]
pub fn bucket_start(index: usize) -> Span {
    let Ok(index) = u32::try_from(index) else {
        return Span::from_us(u64::MAX);
    };
    let Some(step) = index.checked_sub(1) else {
        return Span::ZERO;
    };
    let octave_us = 1_000_u64.checked_shl(step / 2).unwrap_or(u64::MAX);
    if step % 2 == 0 {
        Span::from_us(octave_us)
    } else {
        Span::from_us(octave_us.saturating_mul(1_414) / 1_000)
    }
}

fn bucket_of(latency: Span) -> usize {
    (1..LATENCY_BUCKETS)
        .rev()
        .find(|index| bucket_start(*index) <= latency)
        .unwrap_or(0)
}

/// The version at which a request runs, relative to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// Any version other than the target.
    Old,
    /// The order's target.
    Target,
}

/// What a row of counters is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceKey {
    /// The route of the requests.
    pub route: String,
    /// The availability zone of the endpoint.
    pub zone: ZoneId,
    /// The version of the endpoint.
    pub side: Side,
}

/// Grow-only counters of one row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent to an endpoint.
    pub sent: u64,
    /// Requests with an answer or, for a stream, a first event; also those that failed.
    pub answered: u64,
    /// Answers that failed, including streams that ended before their end and requests
    /// without an answer in time.
    pub failed: u64,
    /// Answers with a pause between two events that made them late.
    pub stalled: u64,
    /// Requests that no longer run at the endpoint.
    pub ended: u64,
    /// Successful answers by latency: time to the first event of a stream, otherwise to
    /// the answer. See [`bucket_start`].
    pub latency: [u64; LATENCY_BUCKETS],
}

impl Counts {
    fn zip(&mut self, other: &Self, combine: impl Fn(u64, u64) -> u64) {
        self.sent = combine(self.sent, other.sent);
        self.answered = combine(self.answered, other.answered);
        self.failed = combine(self.failed, other.failed);
        self.stalled = combine(self.stalled, other.stalled);
        self.ended = combine(self.ended, other.ended);
        for (own, other) in self.latency.iter_mut().zip(&other.latency) {
            *own = combine(*own, *other);
        }
    }
}

/// Counters by route, availability zone and side, of one gateway or of all together.
///
/// At most 64 rows are kept; requests beyond that are counted in one row for each side,
/// whose route and zone are `*`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    rows: BTreeMap<EvidenceKey, Counts>,
}

impl Evidence {
    /// Creates empty counters.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
        }
    }

    /// Creates counters from rows received from another process.
    #[must_use]
    pub fn from_rows(rows: impl IntoIterator<Item = (EvidenceKey, Counts)>) -> Self {
        let mut evidence = Self::new();
        for (key, counts) in rows {
            if let Some(row) = evidence.row_mut(&key) {
                row.zip(&counts, u64::saturating_add);
            }
        }
        evidence
    }

    /// The rows, in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&EvidenceKey, &Counts)> {
        self.rows.iter()
    }

    /// Whether nothing has been counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Counts a request that is sent to an endpoint. A request that already runs when the
    /// order is seen is counted too, so that its end is noticed.
    pub fn record_sent(&mut self, key: &EvidenceKey) {
        if let Some(row) = self.row_mut(key) {
            row.sent += 1;
        }
    }

    /// Counts an answer with its latency: the time to the first event of a stream,
    /// otherwise to the answer.
    ///
    /// Not called for requests that are suspected of crashing endpoints, nor for requests
    /// that ended because of their caller.
    pub fn record_answer(&mut self, key: &EvidenceKey, latency: Span, ok: bool) {
        let Some(row) = self.row_mut(key) else {
            return;
        };
        row.answered += 1;
        if !ok {
            row.failed += 1;
        } else if let Some(bucket) = row.latency.get_mut(bucket_of(latency)) {
            *bucket += 1;
        }
    }

    /// Counts a stream that broke off after its first event as failed, which
    /// [`Self::record_answer`] had counted as successful.
    pub fn record_late_failure(&mut self, key: &EvidenceKey) {
        if let Some(row) = self.row_mut(key) {
            row.failed += 1;
        }
    }

    /// Counts an answer with a pause that made it late, once per answer.
    pub fn record_stall(&mut self, key: &EvidenceKey) {
        if let Some(row) = self.row_mut(key) {
            row.stalled += 1;
        }
    }

    /// Counts a request that no longer runs at its endpoint, once for each
    /// [`Self::record_sent`], however it ended.
    pub fn record_end(&mut self, key: &EvidenceKey) {
        if let Some(row) = self.row_mut(key) {
            row.ended += 1;
        }
    }

    /// Merges newer or older counters of the same process.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.rows {
            if let Some(row) = self.row_mut(key) {
                row.zip(counts, u64::max);
            }
        }
    }

    /// Adds the counters of another process.
    pub fn add(&mut self, other: &Self) {
        for (key, counts) in &other.rows {
            if let Some(row) = self.row_mut(key) {
                row.zip(counts, u64::saturating_add);
            }
        }
    }

    /// What was counted since an earlier state of the same counters.
    #[must_use]
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        for (key, counts) in &earlier.rows {
            if let Some(row) = difference.rows.get_mut(key) {
                row.zip(counts, u64::saturating_sub);
            }
        }
        difference
    }

    /// The sum of all rows of a side.
    #[must_use]
    pub fn total(&self, side: Side) -> Counts {
        let mut total = Counts::default();
        for (_, counts) in self.rows.iter().filter(|(key, _)| key.side == side) {
            total.zip(counts, u64::saturating_add);
        }
        total
    }

    fn row_mut(&mut self, key: &EvidenceKey) -> Option<&mut Counts> {
        if self.rows.contains_key(key) || self.rows.len() < ROWS_MAX - ROWS_RESERVED {
            return Some(self.rows.entry(key.clone()).or_default());
        }
        let overflow = EvidenceKey {
            route: OVERFLOW_NAME.to_owned(),
            zone: OVERFLOW_NAME.parse().ok()?,
            side: key.side,
        };
        Some(self.rows.entry(overflow).or_default())
    }
}
