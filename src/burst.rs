//! Burst detection: an object whose own traffic exceeds what its primary cache usually gets in total is spread over
//! several caches until it cools down.
//!
//! Traffic is counted in windows of [`WINDOW`]. The prediction for a cache is the median of three earlier windows, spaced
//! apart so that a rising object cannot lift its own baseline; the deviation comes from the residuals of that prediction.

use std::collections::HashMap;

use crate::types::{Ns, SECOND};

/// The length of one window of measurements: short enough to react to a rush, long enough to count something.
pub(crate) const WINDOW: Ns = 2 * SECOND;
/// How many earlier windows a prediction is the median of; the design sets it.
const PREDICTION_SAMPLES: usize = 3;
/// How many windows apart these lie, so that an object that rises over some seconds does not lift all of them.
const PREDICTION_SPACING: usize = 3;
/// How many closed windows are remembered: those that a prediction reaches back to.
pub(crate) const REMEMBERED_WINDOWS: usize = PREDICTION_SAMPLES * PREDICTION_SPACING;
/// By how many standard deviations a burst exceeds the prediction; the design sets it.
const BURST_SIGMAS: f64 = 3.0;

/// The ordinary traffic of one cache, without objects in burst: kilobytes a window, or requests where sizes are unknown.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficBaseline {
    /// The traffic of the closed windows, the newest last.
    closed_windows: Vec<f64>,
    open_window: f64,
    /// The variance of what windows had over their predictions.
    residual_variance: f64,
}

impl TrafficBaseline {
    /// Counts a request of an object that is not in burst.
    pub(crate) fn record(&mut self, weight: f64) {
        self.open_window += weight;
    }

    /// The rate of one object above which it is in burst; none while there is no history, or no deviation in it.
    pub(crate) fn burst_threshold(&self) -> Option<f64> {
        let sigma = self.residual_variance.sqrt();
        if sigma > 0.0 { Some(self.prediction()? + BURST_SIGMAS * sigma) } else { None }
    }

    /// Compares the open window with its prediction and begins another.
    pub(crate) fn close_window(&mut self) {
        if let Some(prediction) = self.prediction() {
            let predicted_windows = self.closed_windows.len() - PREDICTION_SPACING + 1;
            let gain = 1.0 / predicted_windows as f64;
            self.residual_variance +=
                gain * ((self.open_window - prediction).powi(2) - self.residual_variance);
        }
        if self.closed_windows.len() == REMEMBERED_WINDOWS {
            self.closed_windows.remove(0);
        }
        self.closed_windows.push(std::mem::take(&mut self.open_window));
    }

    /// The median of the sampled windows, as far as they exist.
    fn prediction(&self) -> Option<f64> {
        let count = self.closed_windows.len();
        let sampled = (1..=PREDICTION_SAMPLES).filter_map(|k| count.checked_sub(k * PREDICTION_SPACING));
        let mut samples: Vec<f64> = sampled.map(|index| self.closed_windows[index]).collect();
        samples.sort_by(f64::total_cmp);
        match samples.len() {
            0 => None,
            n => Some((samples[(n - 1) / 2] + samples[n / 2]) / 2.0),
        }
    }
}

/// The traffic of one object.
#[derive(Clone, Debug, Default)]
struct ObjectTraffic {
    last_window: f64,
    open_window: f64,
    /// The threshold at which its burst was detected, while it lasts.
    burst_threshold: Option<f64>,
    /// Counts its requests in burst, to rotate them over several caches.
    rotation: usize,
}

/// What one more request of an object showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BurstStatus {
    /// It is not in burst.
    Ordinary,
    /// Its burst begins with this request.
    Begins { rate: f64, threshold: f64 },
    /// Its burst has begun before.
    Continues,
}

/// Finds the objects in burst.
#[derive(Clone, Debug, Default)]
pub(crate) struct BurstDetector {
    objects: HashMap<u64, ObjectTraffic>,
}

impl BurstDetector {
    /// Counts a request of an object, whose primary cache has this burst threshold.
    pub(crate) fn record(&mut self, object: u64, weight: f64, threshold: Option<f64>) -> BurstStatus {
        let traffic = self.objects.entry(object).or_default();
        traffic.open_window += weight;
        let rate = traffic.open_window.max(traffic.last_window);
        let status = match (traffic.burst_threshold, threshold) {
            (Some(_), _) => BurstStatus::Continues,
            (None, Some(threshold)) if rate > threshold => {
                traffic.burst_threshold = Some(threshold);
                BurstStatus::Begins { rate, threshold }
            }
            (None, _) => BurstStatus::Ordinary,
        };
        if status != BurstStatus::Ordinary {
            traffic.rotation += 1;
        }
        status
    }

    /// The rotation count of an object in burst; none for others.
    pub(crate) fn rotation(&self, object: u64) -> Option<usize> {
        let traffic = self.objects.get(&object)?;
        traffic.burst_threshold.map(|_| traffic.rotation)
    }

    /// Ends the bursts of objects that stayed below the threshold of their detection for a whole window, and forgets
    /// objects that were not requested. Returns how many bursts ended.
    pub(crate) fn close_window(&mut self) -> usize {
        let mut ended = 0;
        self.objects.retain(|_, traffic| {
            if traffic.burst_threshold.is_some_and(|threshold| traffic.open_window < threshold) {
                traffic.burst_threshold = None;
                ended += 1;
            }
            traffic.last_window = std::mem::take(&mut traffic.open_window);
            traffic.last_window > 0.0
        });
        ended
    }
}
