use super::{BYTES_PER_SECOND, RECORD_BYTES, ReadBudget};
use lentil_core::{Span, Time};

const INTERVAL: Span = Span::from_s(2);

fn full_reads(count: u64, seconds: u64) -> u64 {
    let mut now = Time::ZERO;
    let mut budget = ReadBudget::new(now);
    let mut reads = 0;
    while now < Time::ZERO + Span::from_s(seconds) {
        budget.record_full_read(now, count);
        reads += 1;
        now = budget.next_read_at(now, INTERVAL, count);
    }
    reads
}

#[test]
fn short_list_is_read_at_every_interval() {
    assert_eq!(full_reads(13, 600), 300);
}

#[test]
fn long_list_is_read_at_the_interval_within_a_burst() {
    assert_eq!(full_reads(960, 40), 20);
}

#[test]
fn long_list_keeps_the_rate_over_a_day() {
    let reads = full_reads(960, 86_400);
    let bytes = reads * 960 * RECORD_BYTES;
    assert!(bytes <= BYTES_PER_SECOND * 86_400 + 20 * 960 * RECORD_BYTES);
    assert!(reads >= 592, "{reads}");
}

#[test]
fn read_that_is_not_full_costs_no_credit() {
    let budget = ReadBudget::new(Time::ZERO);
    let next = budget.next_read_at(Time::from_us(5), INTERVAL, 960);
    assert_eq!(next, Time::from_us(5) + INTERVAL);
}
