//! Status codes of HTTP answers.

use std::ops::RangeInclusive;

/// Status codes of final answers (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether an answer with this status is a final one. Others are not passed on: interim
/// answers announce another answer, and further numbers mean nothing.
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    *FINAL_STATUSES.start() <= status && status <= *FINAL_STATUSES.end()
}
