//! How many endpoints a request may be sent to.

/// Limit on the attempts of one request.
///
/// An attempt counts from when it is granted, not from when it is sent: while endpoints are
/// short of capacity, a retry and a hedge of one request may wait for it at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimit {
    max: u32,
    granted: u32,
}

impl AttemptLimit {
    /// Grants the first attempt of a request that may be sent to `max` endpoints.
    #[must_use]
    pub const fn new(max: u32) -> Self {
        let max = if max == 0 { 1 } else { max };
        Self { max, granted: 1 }
    }

    /// Attempts that were granted and not returned.
    #[must_use]
    pub const fn granted(&self) -> u32 {
        self.granted
    }

    /// Grants one more attempt. Returns `false` if none is allowed.
    #[must_use]
    pub const fn try_grant(&mut self) -> bool {
        let is_allowed = self.granted < self.max;
        if is_allowed {
            self.granted += 1;
        }
        is_allowed
    }

    /// Returns an attempt that was granted and has reached no endpoint.
    pub const fn return_unsent(&mut self) {
        self.granted = self.granted.saturating_sub(1);
    }
}
