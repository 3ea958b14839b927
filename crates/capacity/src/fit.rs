//! A straight line through measured points, and the size at which they leave it.

use serde::Serialize;

/// A cost that exceeds the line by more than this share has bent.
const BEND_TOLERANCE: f64 = 0.25;

/// The value of a cost at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// What was measured at it.
    pub value: f64,
}

/// The line with the least squares of *relative* residuals: the sizes lie decades apart, and each counts alike.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Growth for each unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest residual as a share of the value measured there.
    #[serde(rename = "worst")]
    pub max_relative_residual: f64,
    /// Slope between the last two sizes divided by the slope between the first two.
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

    /// Fits a line. Returns `None` with fewer than three points, if all sizes are equal, or if a number is not finite.
    pub fn least_squares(points: &[Point]) -> Option<LinearFit> {
        let (slope, intercept) = weighted_least_squares(points)?;
        let off =
            |p: &Point| (intercept + slope * p.size - p.value).abs() / p.value.abs().max(f64::MIN_POSITIVE);
        let worst = points.iter().map(off).fold(0.0, f64::max);
        let half = &points[..points.len().div_ceil(2).max(3)];
        let (s, i) = weighted_least_squares(half)?;
        let rest = &points[half.len()..];
        let bend = rest.iter().find(|p| p.value > (1.0 + BEND_TOLERANCE) * (i + s * p.size)).map(|p| p.size);
        let local = |a: &Point, b: &Point| (b.value - a.value) / (b.size - a.size);
        let turn = match points {
            [a, b, .., c, d] => local(c, d) / local(a, b),
            _ => 1.0,
        };
        Some(LinearFit { slope, intercept, max_relative_residual: worst, slope_ratio: turn, bend_at: bend })
    }
}

/// Slope and intercept, each point weighted by one over the square of its value. A value of zero is weighted like the
/// smallest value that is not zero.
fn weighted_least_squares(points: &[Point]) -> Option<(f64, f64)> {
    if points.len() < 3 || points.iter().any(|p| !p.value.is_finite() || !p.size.is_finite()) {
        return None;
    }
    let least = points.iter().map(|p| p.value.abs()).filter(|v| *v > 0.0).fold(f64::INFINITY, f64::min);
    let floor = if least.is_finite() { least } else { 1.0 };
    let (mut w, mut x, mut y, mut xx, mut xy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for p in points {
        let weight = p.value.abs().max(floor).powi(-2);
        w += weight;
        x += weight * p.size;
        y += weight * p.value;
        xx += weight * p.size * p.size;
        xy += weight * p.size * p.value;
    }
    let apart = w * xx - x * x;
    if apart <= f64::EPSILON * w * xx {
        return None;
    }
    let slope = (w * xy - x * y) / apart;
    Some((slope, (y - slope * x) / w))
}
