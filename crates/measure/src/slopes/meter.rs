//! Measures memory with a counting allocator, and CPU time with the scheduler statistics that the
//! kernel keeps for the thread.

use std::alloc::System;
use std::hint::black_box;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use super::fit::Point;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// File whose first field is the CPU time of the current thread in nanoseconds.
const THREAD_SCHEDSTAT: &str = "/proc/thread-self/schedstat";

/// Repetitions of each timed run. The shortest time is used.
const REPEATS: usize = 3;

/// Returns the number of bytes allocated and not yet freed.
pub(crate) fn allocated_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    to_f64(
        stats
            .bytes_allocated
            .saturating_sub(stats.bytes_deallocated),
    )
}

fn thread_cpu_ns() -> f64 {
    std::fs::read_to_string(THREAD_SCHEDSTAT)
        .ok()
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(f64::NAN)
}

pub(crate) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Computes a cost, such as the encoded bytes of messages, at each size.
pub(crate) fn count(sizes: &[usize], measure: impl Fn(usize) -> usize) -> Vec<Point> {
    let point = |size: &usize| Point {
        size: to_f64(*size),
        cost: to_f64(measure(*size)),
    };
    sizes.iter().map(point).collect()
}

/// Measures the memory held by the value that `build` returns, at each size.
pub(crate) fn memory<T>(sizes: &[usize], build: impl Fn(usize) -> T) -> Vec<Point> {
    let point = |size: &usize| {
        let before = allocated_bytes();
        let built = black_box(build(*size));
        let held = allocated_bytes() - before;
        drop(built);
        Point {
            size: to_f64(*size),
            cost: held,
        }
    };
    sizes.iter().map(point).collect()
}

/// Measures the CPU time of `run` on the value that `prepare` returns, at each size.
pub(crate) fn time<T>(
    sizes: &[usize],
    prepare: impl Fn(usize) -> T,
    run: impl Fn(T, usize),
) -> Vec<Point> {
    let run_once = |size: usize| {
        let prepared = prepare(size);
        let before = thread_cpu_ns();
        run(prepared, size);
        thread_cpu_ns() - before
    };
    let point = |size: &usize| Point {
        size: to_f64(*size),
        cost: (0..REPEATS)
            .map(|_| run_once(*size))
            .fold(f64::INFINITY, f64::min),
    };
    sizes.iter().map(point).collect()
}
