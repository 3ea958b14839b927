//! The priority of a request: what its answer is worth for the time that it takes to send, compared with other requests.

/// The weight of one request in the mean and the variance, which so follow the mix of some twenty requests.
const GAIN: f64 = 0.05;
/// Where all requests are alike, this stands in for the standard deviation.
const MIN_DEVIATION: f64 = 0.1;

/// The distribution of what recent requests were worth for their time, as logarithms.
#[derive(Clone, Debug)]
pub(crate) struct PriorityScale {
    mean: f64,
    variance: f64,
}

impl PriorityScale {
    pub(crate) fn new() -> Self {
        PriorityScale { mean: 0.0, variance: 1.0 }
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, log_value: f64) {
        let deviation = log_value - self.mean;
        let is_first = self.mean == 0.0;
        self.mean += if is_first { deviation } else { GAIN * deviation };
        self.variance += GAIN * (deviation * deviation - self.variance);
    }

    /// The priority of a request: by how many standard deviations it is worth more than the average.
    pub(crate) fn priority(&self, log_value: f64) -> f64 {
        (log_value - self.mean) / self.variance.sqrt().max(MIN_DEVIATION)
    }
}
