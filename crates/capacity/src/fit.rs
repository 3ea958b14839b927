//! Fits a straight line through measured points and finds the size from which the cost grows faster.

use serde::Serialize;

/// Share of the predicted value by which a cost may exceed the line before it counts as bent.
const BEND_TOLERANCE: f64 = 0.25;

/// The value of a cost at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value measured at this size.
    pub value: f64,
}

/// The line with the least sum of squared *relative* residuals. The sizes span several orders of magnitude, and relative
/// residuals give each of them the same weight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Growth for each unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest residual as a share of the value measured at that size.
    #[serde(rename = "worst")]
    pub max_relative_residual: f64,
    /// Slope between the last two sizes divided by the slope between the first two; 1 for three points.
    #[serde(rename = "turn")]
    pub slope_ratio: f64,
    /// The first size whose value lies more than a quarter above the line through the smaller half of the sizes.
    #[serde(rename = "bend")]
    pub bend_at: Option<f64>,
}

impl LinearFit {
    /// Returns the value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Fits a line through the points, which must be in the order of their sizes. Returns `None` if there are fewer
    /// than three points, if all sizes or those of the smaller half are equal, or if a number is not finite.
    pub fn least_squares(points: &[Point]) -> Option<LinearFit> {
        let (slope, intercept) = weighted_least_squares(points)?;
        let relative_residual =
            |p: &Point| (intercept + slope * p.size - p.value).abs() / p.value.abs().max(f64::MIN_POSITIVE);
        let max_residual = points.iter().map(relative_residual).fold(0.0, f64::max);
        let smaller_half = &points[..points.len().div_ceil(2).max(3)];
        let (half_slope, half_intercept) = weighted_least_squares(smaller_half)?;
        let larger_half = &points[smaller_half.len()..];
        let bend_at = larger_half
            .iter()
            .find(|p| p.value > (1.0 + BEND_TOLERANCE) * (half_intercept + half_slope * p.size))
            .map(|p| p.size);
        let slope_between = |a: &Point, b: &Point| (b.value - a.value) / (b.size - a.size);
        let slope_ratio = match points {
            [a, b, .., c, d] => slope_between(c, d) / slope_between(a, b),
            _ => 1.0,
        };
        Some(LinearFit { slope, intercept, max_relative_residual: max_residual, slope_ratio, bend_at })
    }
}

/// Returns the slope and the intercept of the line with the least weighted squares. The weight of a point is one over the
/// square of its value; a value of zero has the weight of the smallest value that is not zero.
fn weighted_least_squares(points: &[Point]) -> Option<(f64, f64)> {
    if points.len() < 3 || points.iter().any(|p| !p.value.is_finite() || !p.size.is_finite()) {
        return None;
    }
    let min_nonzero = points.iter().map(|p| p.value.abs()).filter(|v| *v > 0.0).fold(f64::INFINITY, f64::min);
    let min_magnitude = if min_nonzero.is_finite() { min_nonzero } else { 1.0 };
    let (mut w, mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for p in points {
        let weight = p.value.abs().max(min_magnitude).powi(-2);
        w += weight;
        x += weight * p.size;
        y += weight * p.value;
        xx += weight * p.size * p.size;
        xy += weight * p.size * p.value;
    }
    let determinant = w * xx - x * x;
    if determinant <= f64::EPSILON * w * xx {
        return None;
    }
    let slope = (w * xy - x * y) / determinant;
    Some((slope, (y - slope * x) / w))
}
