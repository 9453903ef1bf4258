//! This gateway's share of the requests that an unproven version may get.

use lentil_core::Time;

use crate::decision::RolloutLimits;

/// Fraction of the limit that is used, so that gateways which see too few others don't
/// exceed it together.
pub(crate) const LIMIT_FRACTION: f64 = 0.8;

/// Requests that this gateway may still send to the target of one order.
///
/// The limit of a fleet is a share of the requests that reach the service plus a slack.
/// Each gateway uses the share of its own arrivals and an even part of the slack, so all
/// together stay within the limit without messages.
#[derive(Debug, Clone)]
pub struct ExposureBudget {
    limits: RolloutLimits,
    ends_at: Time,
    has_slack: bool,
    arrivals: u64,
    sent: u64,
}

impl ExposureBudget {
    /// Creates a budget for an order that ends at `ends_at`.
    ///
    /// `is_new_order` states whether this process was in service before the order was
    /// written. Otherwise an earlier process in its place may have used the part of the
    /// slack, and only arrivals count.
    #[must_use]
    pub const fn new(limits: RolloutLimits, ends_at: Time, is_new_order: bool) -> Self {
        Self {
            limits,
            ends_at,
            has_slack: is_new_order,
            arrivals: 0,
            sent: 0,
        }
    }

    /// Records a request that reached the service, once however often it is sent.
    pub const fn record_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// Withdraws one request to the target version; returns `false` if it must not be
    /// sent there. `gateways` is the number of gateways including this one.
    pub fn try_send(&mut self, now: Time, gateways: u32) -> bool {
        if self.ends_at.has_passed(now) || self.remaining(gateways) < 1.0 {
            return false;
        }
        self.sent += 1;
        true
    }

    /// Records a request to the target version that is sent in any case, as during
    /// promotion.
    pub const fn record_unbudgeted(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Requests that may still be sent at the current number of arrivals.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn remaining(&self, gateways: u32) -> f64 {
        let slack = if self.has_slack {
            f64::from(self.limits.exposure_slack) / f64::from(gateways.max(1))
        } else {
            0.0
        };
        let allowed = self.limits.exposure_share * self.arrivals as f64 + slack;
        LIMIT_FRACTION * allowed - self.sent as f64
    }
}
