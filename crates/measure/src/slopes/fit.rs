//! Fits a line through measured points by least squares.

use serde::Serialize;

/// The cost measured at one size.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Point {
    pub(crate) size: f64,
    pub(crate) cost: f64,
}

/// Unit of a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Unit {
    Bytes,
    Nanoseconds,
}

impl Unit {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Bytes => "B",
            Self::Nanoseconds => "ns",
        }
    }
}

/// The marginal cost of one unit, fitted over several sizes.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Slope {
    pub(crate) name: &'static str,
    pub(crate) unit: Unit,
    /// Marginal cost: the slope of the line.
    pub(crate) slope: f64,
    /// Cost at size zero: the intercept of the line.
    pub(crate) fixed: f64,
    /// Largest distance of a point from the line, as a fraction of the largest cost.
    pub(crate) residual: f64,
    pub(crate) points: Vec<Point>,
}

impl Slope {
    pub(crate) fn fit(name: &'static str, unit: Unit, points: Vec<Point>) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean = |field: fn(&Point) -> f64| points.iter().map(field).sum::<f64>() / count;
        let mean_size = mean(|point| point.size);
        let mean_cost = mean(|point| point.cost);
        let squared_deviation = |point: &Point| (point.size - mean_size).powi(2);
        let deviation_product = |point: &Point| (point.size - mean_size) * (point.cost - mean_cost);
        let slope = points.iter().map(deviation_product).sum::<f64>()
            / points.iter().map(squared_deviation).sum::<f64>();
        let fixed = mean_cost - slope * mean_size;
        let residual = |point: &Point| (point.cost - fixed - slope * point.size).abs();
        let max_cost = points.iter().map(|point| point.cost).fold(0.0, f64::max);
        Self {
            name,
            unit,
            slope,
            fixed,
            residual: points.iter().map(residual).fold(0.0, f64::max) / max_cost,
            points,
        }
    }
}
