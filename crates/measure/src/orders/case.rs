//! Simulated scenarios of an availability zone, and their results.

use serde::Serialize;

/// Maximum number of concurrent fetches: as many as use the weight store's full rate, and one more
/// to cover the gap between two fetches.
const FETCHING_MAX: u32 = 5;

/// Scenario of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    /// Replicas that serve from the start.
    pub(crate) serving: usize,
    /// Replicas that return without a loaded model.
    pub(crate) returning: usize,
    /// Whether the serving replicas change to a new version.
    pub(crate) changes_version: bool,
    /// Maximum number of endpoints that fetch weights at the same time.
    pub(crate) fetching_max: u32,
}

impl Case {
    pub(crate) const ALL: [Self; 7] = [
        Self::new("1 returns to 70, by turns", 70, 1, false, FETCHING_MAX),
        Self::new(
            "rack of 16 returns to 70, by turns",
            70,
            16,
            false,
            FETCHING_MAX,
        ),
        Self::new("rack of 16 returns to 70, all", 70, 16, false, 200),
        Self::new("zone of 86 returns, by turns", 0, 86, false, FETCHING_MAX),
        Self::new("zone of 200 returns, by turns", 0, 200, false, FETCHING_MAX),
        Self::new("zone of 200 returns, all at once", 0, 200, false, 200),
        Self::new("86 change version, by turns", 86, 0, true, FETCHING_MAX),
    ];

    const fn new(
        name: &'static str,
        serving: usize,
        returning: usize,
        changes_version: bool,
        fetching_max: u32,
    ) -> Self {
        Self {
            name,
            serving,
            returning,
            changes_version,
            fetching_max,
        }
    }

    /// Returns the number of replicas that load a model or a version.
    pub(crate) fn changing(&self) -> usize {
        match self.changes_version {
            true => self.serving,
            false => self.returning,
        }
    }
}

/// Results of one run; times are in simulated seconds.
#[derive(Debug, Serialize)]
pub(crate) struct ZoneResult {
    pub(crate) case: &'static str,
    /// Time until the first changing replica serves.
    pub(crate) first_s: f64,
    /// Time until each model has been served by a replica.
    pub(crate) models_s: f64,
    /// Median of the times until a changing replica serves.
    pub(crate) median_s: f64,
    /// Time until all changing replicas serve.
    pub(crate) last_s: f64,
    /// Lower bound of `last_s`: all bytes at the weight store's rate, or one replica's bytes at the
    /// rate of its link, whichever takes longer.
    pub(crate) limit_s: f64,
    /// Models that lost their last replica, counted in each step without one.
    pub(crate) models_lost: usize,
    pub(crate) finished: usize,
    pub(crate) changing: usize,
    pub(crate) appends: usize,
    pub(crate) appends_peak_per_s: u64,
    pub(crate) read_bytes_per_s: f64,
}

impl ZoneResult {
    /// Returns a message if a model lost its last replica or a replica did not finish.
    pub(crate) fn violation(&self) -> Option<String> {
        if self.models_lost > 0 {
            return Some(format!("{}: {} models lost", self.case, self.models_lost));
        }
        let unfinished = self.changing - self.finished;
        (unfinished > 0).then(|| format!("{}: {unfinished} replicas did not finish", self.case))
    }
}
