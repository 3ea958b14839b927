//! Estimates the mean of each member of a group from the member's samples and from the samples of all members.

use crate::Ns;
use crate::decaying_sum::DecayingSum;

/// The estimated mean of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The estimated mean.
    pub mean: f64,
    /// The weight of the member's own samples in the mean, from 0 to 1.
    pub confidence: f64,
    /// The standard error of the mean.
    pub standard_error: f64,
}

/// Bounds of the shrinkage weight: the upper one applies to members that are all alike, the lower one to members that
/// have nothing in common.
const MAX_SHRINKAGE_WEIGHT: f64 = 200.0;
const MIN_SHRINKAGE_WEIGHT: f64 = 0.5;
/// The shrinkage weight until there are enough samples to estimate it.
const INITIAL_SHRINKAGE_WEIGHT: f64 = 10.0;
/// How often per half-life the shrinkage weight is estimated again.
const UPDATES_PER_HALF_LIFE: u64 = 8;
/// The smoothing factor of the shrinkage weight: the share of a new estimate in the updated value.
const SMOOTHING_FACTOR: f64 = 0.3;
/// The minimum weight of a member's samples for the member to be included in the estimate of the shrinkage weight.
const MIN_MEMBER_WEIGHT: f64 = 0.5;
/// The minimum number of members, and the minimum total weight of their samples, to estimate the shrinkage weight.
const MIN_MEMBERS: usize = 3;
const MIN_TOTAL_WEIGHT: f64 = 6.0;
/// Lower bounds that keep divisors above zero.
const MIN_VARIANCE: f64 = 1e-6;
const MIN_DIVISOR: f64 = 1e-9;

/// Estimates the mean of each member of a group by shrinking the mean of its own samples towards the pooled mean of all
/// members (empirical Bayes, Efron and Morris 1975). The less the members differ, the stronger the shrinkage.
#[derive(Clone, Debug)]
pub struct ShrinkageEstimator {
    half_life: Ns,
    max_weight: f64,
    prior_mean: f64,
    members: Vec<DecayingSum>,
    pooled: DecayingSum,
    /// The weight of the pooled mean, in samples of the member: the variance within members divided by the variance
    /// between them.
    shrinkage_weight: f64,
    updated_at: Ns,
}

impl ShrinkageEstimator {
    /// Creates an estimator without samples.
    ///
    /// The weight of a sample halves every `half_life` nanoseconds. The total weight of a member's samples stays
    /// below `max_weight + 1`: once it has reached `max_weight`, which must be at least 1, the next sample scales
    /// down the older ones so that the total is `max_weight` again. `prior_mean` is the mean before there are
    /// samples; it has the weight of one sample.
    pub fn new(half_life: Ns, max_weight: f64, prior_mean: f64) -> ShrinkageEstimator {
        ShrinkageEstimator {
            half_life: half_life.max(1),
            max_weight,
            prior_mean,
            members: Vec::new(),
            pooled: DecayingSum::default(),
            shrinkage_weight: INITIAL_SHRINKAGE_WEIGHT,
            updated_at: 0,
        }
    }

    /// Records a sample of a member. A value that is not finite is ignored.
    pub fn record(&mut self, now: Ns, member: usize, value: f64) {
        if !value.is_finite() {
            return;
        }
        if self.members.len() <= member {
            self.members.resize(member + 1, DecayingSum::default());
        }
        let own = &mut self.members[member];
        own.decay(now, self.half_life);
        if own.weight >= self.max_weight {
            own.scale((self.max_weight - 1.0).max(0.0) / own.weight);
        }
        own.add(value);
        self.pooled.decay(now, self.half_life);
        self.pooled.add(value);
        if now >= self.updated_at + self.half_life / UPDATES_PER_HALF_LIFE {
            self.updated_at = now;
            self.update_shrinkage_weight(now);
        }
    }

    /// Discards a member's samples, so that its index can be assigned to another member.
    pub fn forget(&mut self, member: usize) {
        if let Some(own) = self.members.get_mut(member) {
            *own = DecayingSum::default();
        }
    }

    /// Returns the pooled mean of all members.
    pub fn pooled_mean(&self, now: Ns) -> f64 {
        self.mean_with_prior(&self.pooled.decayed(now, self.half_life))
    }

    fn mean_with_prior(&self, pooled: &DecayingSum) -> f64 {
        (pooled.sum + self.prior_mean) / (pooled.weight + 1.0)
    }

    /// Estimates the mean of a member. The estimate of a member without samples is the pooled mean.
    pub fn estimate(&self, now: Ns, member: usize) -> Estimate {
        let own =
            self.members.get(member).map_or(DecayingSum::default(), |own| own.decayed(now, self.half_life));
        let pooled = self.pooled.decayed(now, self.half_life);
        let weight = own.weight + self.shrinkage_weight;
        let mean = (own.sum + self.shrinkage_weight * self.mean_with_prior(&pooled)) / weight;
        Estimate {
            mean,
            confidence: own.weight / weight,
            standard_error: (pooled.variance() / weight).sqrt(),
        }
    }

    /// Updates the shrinkage weight from how much more the members' means vary than by chance (method of moments).
    fn update_shrinkage_weight(&mut self, now: Ns) {
        let decayed = self.members.iter().map(|member| member.decayed(now, self.half_life));
        let members: Vec<DecayingSum> = decayed.filter(|member| member.weight >= MIN_MEMBER_WEIGHT).collect();
        let total: f64 = members.iter().map(|member| member.weight).sum();
        if members.len() < MIN_MEMBERS || total < MIN_TOTAL_WEIGHT {
            return;
        }
        let within = self.variance_within(&members, total);
        let between = variance_between(&members, total, within);
        let measured = if between > 0.0 { within / between } else { MAX_SHRINKAGE_WEIGHT };
        // The update is smoothed, because an estimate from few members is noisy. The inverse of the weight is smoothed
        // rather than the weight, so that the weight falls soon after members become different.
        let inverse = 1.0 / self.shrinkage_weight;
        let measured_inverse = 1.0 / measured.clamp(MIN_SHRINKAGE_WEIGHT, MAX_SHRINKAGE_WEIGHT);
        self.shrinkage_weight = 1.0 / (inverse + SMOOTHING_FACTOR * (measured_inverse - inverse));
    }

    /// The pooled variance of samples within members. Members with one sample do not contribute to it. Without enough
    /// degrees of freedom it is the variance of all samples.
    fn variance_within(&self, members: &[DecayingSum], total: f64) -> f64 {
        let squared_deviations =
            members.iter().map(|member| member.sum_of_squares - member.sum * member.sum / member.weight);
        let sum_of_squared_deviations: f64 = squared_deviations.sum();
        let degrees_of_freedom = total - members.len() as f64;
        if degrees_of_freedom > 1.0 {
            (sum_of_squared_deviations / degrees_of_freedom).max(MIN_VARIANCE)
        } else {
            self.pooled.variance()
        }
    }
}

/// The variance of the members' true means: the variance of the observed means minus the part that the variance within
/// members explains. Negative if that part is larger than the observed variance.
fn variance_between(members: &[DecayingSum], total: f64, within: f64) -> f64 {
    let mean = members.iter().map(|member| member.sum).sum::<f64>() / total;
    let deviation = |member: &DecayingSum| member.weight * (member.sum / member.weight - mean).powi(2);
    let observed: f64 = members.iter().map(deviation).sum();
    let squared_weights: f64 = members.iter().map(|member| member.weight * member.weight).sum();
    let by_chance = (members.len() - 1) as f64 * within;
    (observed - by_chance) / (total - squared_weights / total).max(MIN_DIVISOR)
}
