//! Draws the results as SVG bar charts.

use std::path::Path;

use eyre::WrapErr as _;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, Palette, Palette99, Rectangle, SVGBackend, WHITE,
};

use super::numeric::count_to_f64;
use super::policy::Policy;
use super::run::PolicyResult;
use super::score::mean;
use super::stats::Metrics;

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (1_200, 480);

/// A plot: file name, title and plotted metric.
type Plot = (&'static str, &'static str, fn(&Metrics) -> f64);

const PLOTS: [Plot; 5] = [
    ("stall", "Stall time, s for 1000 requests", |m| m.stall_s),
    ("preemptions", "Preemptions for 1000 requests", |m| {
        m.preemptions
    }),
    ("gap-p99", "p99 between tokens, ms", |m| m.gap_p99_ms),
    ("first-p95", "p95 first token, ms", |m| m.first_p95_ms),
    ("goodput", "Goodput, %", |m| m.goodput * 100.0),
];

/// Writes all plots into a directory, which is created if necessary.
pub(crate) fn write(directory: &Path, results: &[PolicyResult]) -> eyre::Result<()> {
    std::fs::create_dir_all(directory)
        .wrap_err_with(|| format!("creating directory {}", directory.display()))?;
    for (file, title, value) in PLOTS {
        let path = directory.join(format!("load-{file}.svg"));
        draw(&path, title, results, value)
            .wrap_err_with(|| format!("drawing {}", path.display()))?;
    }
    Ok(())
}

fn draw(
    path: &Path,
    title: &str,
    results: &[PolicyResult],
    value: fn(&Metrics) -> f64,
) -> eyre::Result<()> {
    let mut names: Vec<&str> = results.iter().map(|r| r.workload.name).collect();
    names.dedup();
    let highest = results.iter().map(|r| mean(r, value)).fold(0.0, f64::max);
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..count_to_f64(names.len()), 0.0..highest.max(0.1) * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() + 1)
        .x_label_formatter(&|x| label(&names, *x))
        .draw()?;
    for (index, policy) in Policy::ALL.into_iter().enumerate() {
        let colour = Palette99::pick(index).mix(0.9);
        let bars = bars(results, &names, policy, index, value)
            .into_iter()
            .map(|corners| Rectangle::new(corners, colour.filled()));
        chart
            .draw_series(bars)?
            .label(policy.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the name of the workload whose bars begin at `x`, or an empty text.
fn label(names: &[&str], x: f64) -> String {
    names
        .iter()
        .enumerate()
        .find(|(index, _)| (count_to_f64(*index) - x).abs() < 0.01)
        .map(|(_, name)| (*name).to_owned())
        .unwrap_or_default()
}

/// Returns the corners of a policy's bars, one for each workload.
fn bars(
    results: &[PolicyResult],
    names: &[&str],
    policy: Policy,
    index: usize,
    value: fn(&Metrics) -> f64,
) -> Vec<[(f64, f64); 2]> {
    let width = 0.85 / count_to_f64(Policy::ALL.len());
    results
        .iter()
        .filter(|result| result.policy == policy)
        .filter_map(|result| {
            let group = names
                .iter()
                .position(|name| *name == result.workload.name)?;
            let left = count_to_f64(group) + width * count_to_f64(index);
            Some([(left, 0.0), (left + width, mean(result, value))])
        })
        .collect()
}
