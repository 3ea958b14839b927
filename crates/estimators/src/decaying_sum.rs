//! Sums of samples whose weight decays exponentially with age.

use crate::Ns;

/// Lower bounds that keep divisors and variances above zero.
const MIN_WEIGHT: f64 = 1e-9;
const MIN_VARIANCE: f64 = 1e-6;

/// Exponentially decaying sums of the weights, values and squared values of samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingSum {
    /// The decayed number of samples.
    pub(crate) weight: f64,
    pub(crate) sum: f64,
    pub(crate) sum_of_squares: f64,
    updated_at: Ns,
}

impl DecayingSum {
    /// Decays the sums up to `now`. A time before the last update changes nothing.
    pub(crate) fn decay(&mut self, now: Ns, half_life: Ns) {
        if now > self.updated_at {
            let age = (now - self.updated_at) as f64 / half_life as f64;
            self.scale((-age).exp2());
            self.updated_at = now;
        }
    }

    /// Returns a copy that is decayed up to `now`.
    pub(crate) fn decayed(mut self, now: Ns, half_life: Ns) -> DecayingSum {
        self.decay(now, half_life);
        self
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.sum_of_squares *= factor;
    }

    /// Adds a sample of weight 1.
    pub(crate) fn add(&mut self, value: f64) {
        self.weight += 1.0;
        self.sum += value;
        self.sum_of_squares += value * value;
    }

    /// The variance of the samples.
    pub(crate) fn variance(&self) -> f64 {
        let weight = self.weight.max(MIN_WEIGHT);
        (self.sum_of_squares / weight - (self.sum / weight).powi(2)).max(MIN_VARIANCE)
    }
}
