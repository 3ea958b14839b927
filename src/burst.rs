//! Burst detection: an object whose own traffic exceeds what its primary cache usually gets in total is spread over
//! several caches until its traffic falls again.
//!
//! Traffic is counted in windows of [`WINDOW`]. The prediction for a cache is the median of three earlier windows.
//! These are spaced apart, so that an object with rising traffic does not raise its own baseline. An object is in burst
//! if its traffic exceeds the prediction by a multiple of the standard deviation of the prediction's residuals.

use crate::object_table::{ObjectEntry, ObjectTable};
use crate::types::{Ns, SECOND};

/// The length of a measurement window: short enough to react to a sudden rise, long enough to count a useful number
/// of requests.
pub(crate) const WINDOW: Ns = 2 * SECOND;
/// The number of earlier windows of which the prediction is the median.
const PREDICTION_SAMPLES: usize = 3;
/// The distance between these windows, in windows, so that an object whose traffic rises over some seconds does not
/// raise all of them.
const PREDICTION_SPACING: usize = 3;
/// The number of closed windows that are remembered, which are those that a prediction can use.
pub(crate) const REMEMBERED_WINDOWS: usize = PREDICTION_SAMPLES * PREDICTION_SPACING;
/// The number of standard deviations by which a burst exceeds the prediction.
const BURST_SIGMAS: f64 = 3.0;

/// The ordinary traffic of one cache, without objects in burst. The unit is kilobytes per window, or requests per
/// window where sizes are unknown.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficBaseline {
    /// The traffic of the closed windows, the latest last.
    closed_windows: Vec<f64>,
    current_window: f64,
    /// The variance of the differences between the traffic of windows and their predictions.
    residual_variance: f64,
}

impl TrafficBaseline {
    /// Records a request for an object that is not in burst.
    pub(crate) fn record(&mut self, weight: f64) {
        self.current_window += weight;
    }

    /// The traffic per window above which an object is in burst; none without history or without deviation in it.
    pub(crate) fn burst_threshold(&self) -> Option<f64> {
        let sigma = self.residual_variance.sqrt();
        if sigma > 0.0 { Some(self.prediction()? + BURST_SIGMAS * sigma) } else { None }
    }

    /// Compares the current window with its prediction and begins the next one.
    pub(crate) fn close_window(&mut self) {
        if let Some(prediction) = self.prediction() {
            let predicted_windows = self.closed_windows.len() - PREDICTION_SPACING + 1;
            let gain = 1.0 / predicted_windows as f64;
            self.residual_variance +=
                gain * ((self.current_window - prediction).powi(2) - self.residual_variance);
        }
        if self.closed_windows.len() == REMEMBERED_WINDOWS {
            self.closed_windows.remove(0);
        }
        self.closed_windows.push(std::mem::take(&mut self.current_window));
    }

    /// The median of those sampled windows that exist.
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
    current_window: f64,
    /// Whether the object was requested more than once since its entry was created.
    is_requested_again: bool,
    /// The threshold at which the object's burst was detected; none if the object is not in burst.
    burst_threshold: Option<f64>,
    /// The number of requests while the object was in burst, by which they rotate over several caches. A later burst
    /// continues the count.
    rotation: usize,
}

impl ObjectEntry for ObjectTraffic {
    fn has_shown_use(&self) -> bool {
        self.is_requested_again
    }
}

/// The state of an object after one more request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BurstStatus {
    /// The object is not in burst.
    Ordinary,
    /// The burst begins with this request.
    Begins { rate: f64, threshold: f64 },
    /// The burst has begun earlier.
    Continues,
}

/// Detects the objects in burst.
#[derive(Clone, Debug, Default)]
pub(crate) struct BurstDetector {
    objects: ObjectTable<ObjectTraffic>,
}

impl BurstDetector {
    /// Limits the number of objects whose traffic is followed. Others count as ordinary.
    pub(crate) fn set_max_objects(&mut self, max_objects: usize) {
        self.objects.set_max_entries(max_objects);
    }

    /// The number of objects whose traffic is followed.
    pub(crate) fn object_count(&self) -> usize {
        self.objects.len()
    }

    /// Records a request for an object. `threshold` is the burst threshold of its primary cache.
    pub(crate) fn record(&mut self, object: u64, weight: f64, threshold: Option<f64>) -> BurstStatus {
        let Some(traffic) = self.objects.get_or_create(object) else { return BurstStatus::Ordinary };
        traffic.is_requested_again = traffic.current_window.max(traffic.last_window) > 0.0;
        traffic.current_window += weight;
        let rate = traffic.current_window.max(traffic.last_window);
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

    /// The number of requests for an object while it was in burst; none if it is not in burst now.
    pub(crate) fn rotation(&self, object: u64) -> Option<usize> {
        let traffic = self.objects.get(object)?;
        traffic.burst_threshold.map(|_| traffic.rotation)
    }

    /// Ends the bursts of objects whose traffic stayed below the threshold of their detection for a whole window, and
    /// forgets objects without requests. Returns the number of bursts that ended.
    pub(crate) fn close_window(&mut self) -> usize {
        let mut ended = 0;
        self.objects.retain(|traffic| {
            if traffic.burst_threshold.is_some_and(|threshold| traffic.current_window < threshold) {
                traffic.burst_threshold = None;
                ended += 1;
            }
            traffic.last_window = std::mem::take(&mut traffic.current_window);
            traffic.last_window > 0.0
        });
        ended
    }
}
