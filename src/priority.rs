//! The priority of a request: the value of its answer per unit of time that it takes to send, compared with other
//! requests.

/// The weight of one request in the mean and the variance, which therefore cover about twenty requests.
const GAIN: f64 = 0.05;
/// The lower bound of the standard deviation, for times when all requests are alike.
const MIN_DEVIATION: f64 = 0.1;

/// The distribution of the logarithmic value per unit of time of recent requests.
#[derive(Clone, Debug)]
pub(crate) struct PriorityScale {
    mean: f64,
    variance: f64,
}

impl PriorityScale {
    pub(crate) fn new() -> Self {
        PriorityScale { mean: 0.0, variance: 1.0 }
    }

    /// Records a request.
    pub(crate) fn record(&mut self, log_value: f64) {
        let deviation = log_value - self.mean;
        let is_first = self.mean == 0.0;
        self.mean += if is_first { deviation } else { GAIN * deviation };
        self.variance += GAIN * (deviation * deviation - self.variance);
    }

    /// The priority of a request: the number of standard deviations by which its value exceeds the mean.
    pub(crate) fn priority(&self, log_value: f64) -> f64 {
        (log_value - self.mean) / self.variance.sqrt().max(MIN_DEVIATION)
    }
}
