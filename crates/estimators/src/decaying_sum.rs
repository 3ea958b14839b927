//! Sums of samples that count less as they age.

use crate::Ns;

/// Floors that keep divisors and variances above zero.
const MIN_WEIGHT: f64 = 1e-9;
const MIN_VARIANCE: f64 = 1e-6;

/// Exponentially decaying sums of weights, values and squared values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingSum {
    pub(crate) weight: f64,
    pub(crate) sum: f64,
    pub(crate) squares: f64,
    updated_at: Ns,
}

impl DecayingSum {
    /// Decays the sums up to `now`; an earlier time than before changes nothing.
    pub(crate) fn decay(&mut self, now: Ns, half_life: Ns) {
        if now > self.updated_at {
            let age = (now - self.updated_at) as f64 / half_life as f64;
            self.scale((-age).exp2());
            self.updated_at = now;
        }
    }

    /// A copy, decayed up to `now`.
    pub(crate) fn decayed(mut self, now: Ns, half_life: Ns) -> DecayingSum {
        self.decay(now, half_life);
        self
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    pub(crate) fn add(&mut self, value: f64) {
        self.weight += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    pub(crate) fn variance(&self) -> f64 {
        let weight = self.weight.max(MIN_WEIGHT);
        (self.squares / weight - (self.sum / weight).powi(2)).max(MIN_VARIANCE)
    }
}
