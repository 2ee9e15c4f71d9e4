//! A straight line through measured points.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Point {
    /// Size, such as a number of nodes.
    pub size: f64,
    /// What was measured at that size.
    pub value: f64,
}

/// Least-squares line through points.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Fit {
    /// Value at size zero.
    pub base: f64,
    /// Growth of the value for one more of the size.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r2: f64,
}

impl Fit {
    /// Fits a line; none when fewer than two sizes were measured.
    #[must_use]
    pub fn of(points: &[Point]) -> Option<Self> {
        let count = f64::from(u32::try_from(points.len()).ok()?);
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread = |of: &dyn Fn(&Point) -> f64| points.iter().map(of).sum::<f64>();
        let size_spread = spread(&|point| (point.size - mean_size).powi(2));
        if points.len() < 2 || size_spread <= 0.0 {
            return None;
        }
        let joint = spread(&|point| (point.size - mean_size) * (point.value - mean_value));
        let slope = joint / size_spread;
        let base = mean_value - slope * mean_size;
        let value_spread = spread(&|point| (point.value - mean_value).powi(2));
        let residual = spread(&|point| (point.value - base - slope * point.size).powi(2));
        let r2 = if value_spread > 0.0 {
            1.0 - residual / value_spread
        } else {
            1.0
        };
        Some(Self { base, slope, r2 })
    }

    /// Value of the line at `size`.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
