//! Tables of `measure once`.

use super::Report;
use super::runs::{ByFault, Totals};

/// Prints the report as tables.
pub(crate) fn print_report(report: &Report) {
    println!("seed {}", report.seed);
    println!("\nruns with faults");
    print_totals("all", &report.faults.total);
    print_totals("guard off", &report.without_guard);
    println!("\none fault");
    print_by_fault(&report.faults.alone);
    println!("\ntwo faults, listed by the first");
    print_by_fault(&report.faults.pairs);
    print_latency(report);
    print_appends(report);
    print_outage(report);
    print_poison(report);
}

fn print_totals(name: &str, totals: &Totals) {
    println!(
        "{name:>10}: {} call runs, {} calls, {} executions, {} answers, {} not_run, {} ran, \
         {} unknown ({:.3}%), {} cut",
        totals.call_runs,
        totals.calls,
        totals.executions,
        totals.answers,
        totals.not_run,
        totals.ran,
        totals.unknown,
        percent(totals.unknown, totals.calls),
        totals.cut,
    );
    println!(
        "{:>10}  double runs {}, false not_run {}, crossed answers {}",
        "", totals.double_runs, totals.false_not_run, totals.crossed
    );
    println!(
        "{:>10}  {} stream runs, {} streams, {} whole, {} failed, {} tokens, {} resumes",
        "",
        totals.stream_runs,
        totals.streams,
        totals.whole,
        totals.failed,
        totals.tokens,
        totals.resumes,
    );
    println!(
        "{:>10}  wrong tokens {}, false ends {}, unfinished {}, leaked at an engine {}",
        "", totals.wrong_tokens, totals.false_ends, totals.unfinished, totals.leaked
    );
}

fn percent(part: u64, whole: u64) -> f64 {
    let number = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    100.0 * number(part) / number(whole.max(1))
}

fn print_by_fault(rows: &[ByFault]) {
    println!(
        "{:>20} {:>7} {:>8} {:>8} {:>9} {:>7} {:>7} {:>8} {:>7}",
        "fault", "calls", "answers", "not_run", "unknown%", "double", "false", "streams", "whole"
    );
    for row in rows {
        let totals = &row.totals;
        println!(
            "{:>20} {:>7} {:>8} {:>8} {:>9.3} {:>7} {:>7} {:>8} {:>7}",
            row.fault,
            totals.calls,
            totals.answers,
            totals.not_run,
            percent(totals.unknown, totals.calls),
            totals.double_runs,
            totals.false_not_run,
            totals.streams,
            totals.whole,
        );
    }
}

fn print_latency(report: &Report) {
    let latency = &report.latency;
    println!(
        "\nlatency added by a claim, with {} ms one way to the log and 1 to 2 ms of network: p50 {:.1} ms, p99 {:.1} ms ({} claims)",
        latency.log_one_way_ms, latency.p50_ms, latency.p99_ms, latency.claims
    );
}

fn print_appends(report: &Report) {
    println!(
        "\n{:>22} {:>8} {:>8} {:>11} {:>9} {:>10} {:>6} {:>8} {:>8}",
        "appends",
        "replicas",
        "calls/s",
        "interval ms",
        "appends/s",
        "ungrouped",
        "limit",
        "p50 ms",
        "p99 ms"
    );
    for row in &report.appends {
        println!(
            "{:>22} {:>8} {:>8} {:>11} {:>9} {:>10} {:>6} {:>8.1} {:>8.1}",
            row.size,
            row.replicas,
            row.keyed_calls_per_s,
            row.append_interval_ms,
            row.appends_per_s,
            row.one_append_each_per_s,
            row.log_limit_per_s,
            row.claim_p50_ms,
            row.claim_p99_ms,
        );
    }
}

fn print_outage(report: &Report) {
    println!(
        "\n{:>8} {:>14} {:>8} {:>9} {:>8} {:>8} {:>9} {:>11} {:>10} {:>8}",
        "outage",
        "way",
        "calls",
        "executed",
        "after",
        "given up",
        "refusals",
        "p99 wait ms",
        "unrecorded",
        "in doubt"
    );
    for row in &report.outage {
        println!(
            "{:>8} {:>14} {:>8} {:>9} {:>8} {:>8} {:>9} {:>11.0} {:>10} {:>8}",
            row.size,
            row.way,
            row.calls,
            row.executions_in_outage,
            row.executions_after,
            row.given_up,
            row.refusals,
            row.p99_wait_ms,
            row.unrecorded,
            row.keys_in_doubt,
        );
    }
}

fn print_poison(report: &Report) {
    println!(
        "\n{:>18} {:>8} {:>7} {:>15} {:>12} {:>14} {:>9}",
        "poison", "entries", "runs", "endpoints lost", "max in a run", "innocents hit", "finished"
    );
    for row in &report.poison {
        println!(
            "{:>18} {:>8} {:>7} {:>15} {:>12} {:>14} {:>9}",
            row.way,
            row.entries,
            row.scenes,
            row.endpoints_lost,
            row.endpoints_lost_max,
            row.innocents_hit,
            row.innocents_finished,
        );
    }
}
