//! A mean for each member of a group, from the member's samples and from those of all members.

use crate::Ns;
use crate::decaying_sum::DecayingSum;

/// The estimated mean of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The estimate.
    pub mean: f64,
    /// How much of it rests on the member's own samples: 0 nothing, 1 all.
    pub confidence: f64,
    /// The standard error of the mean.
    pub error: f64,
}

/// Bounds of the shrinkage weight: members that are all alike, and members that have nothing in common.
const MAX_SHRINKAGE: f64 = 200.0;
const MIN_SHRINKAGE: f64 = 0.5;
/// The shrinkage weight before there are samples enough to estimate it.
const INITIAL_SHRINKAGE: f64 = 10.0;
/// How often in a half-life the shrinkage weight is estimated again.
const UPDATES_PER_HALF_LIFE: u64 = 8;
/// How much of a new estimate of the shrinkage weight counts.
const UPDATE_RATE: f64 = 0.3;
/// A member needs this weight of samples to count for the shrinkage weight.
const MIN_MEMBER_WEIGHT: f64 = 0.5;
/// The shrinkage weight is not estimated from fewer members, or from a lower weight of samples.
const MIN_MEMBERS: usize = 3;
const MIN_TOTAL_WEIGHT: f64 = 6.0;
/// Floors that keep divisors above zero.
const MIN_VARIANCE: f64 = 1e-6;
const MIN_DIVISOR: f64 = 1e-9;

/// Estimates the mean of each member of a group by shrinking the mean of its own samples towards the mean of all (empirical
/// Bayes, Efron and Morris 1975). How far depends on how different the members prove to be.
#[derive(Clone, Debug)]
pub struct ShrinkageEstimator {
    half_life: Ns,
    max_weight: f64,
    prior: f64,
    members: Vec<DecayingSum>,
    all: DecayingSum,
    /// How many own samples the group's mean is worth: the variance within members over the variance between them.
    shrinkage: f64,
    updated_at: Ns,
}

impl ShrinkageEstimator {
    /// Samples count half after `half_life` nanoseconds. Of one member at most the newest `max_weight` samples count. `prior`
    /// is the mean before there are samples, worth one of them.
    pub fn new(half_life: Ns, max_weight: f64, prior: f64) -> ShrinkageEstimator {
        ShrinkageEstimator {
            half_life: half_life.max(1),
            max_weight,
            prior,
            members: Vec::new(),
            all: DecayingSum::default(),
            shrinkage: INITIAL_SHRINKAGE,
            updated_at: 0,
        }
    }

    /// Records a sample of a member; one that is not finite is ignored.
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
        self.all.decay(now, self.half_life);
        self.all.add(value);
        if now >= self.updated_at + self.half_life / UPDATES_PER_HALF_LIFE {
            self.updated_at = now;
            self.update_shrinkage(now);
        }
    }

    /// Forgets a member's samples, as its index is given to another one.
    pub fn forget(&mut self, member: usize) {
        if let Some(own) = self.members.get_mut(member) {
            *own = DecayingSum::default();
        }
    }

    /// The mean of all members.
    pub fn mean(&self, now: Ns) -> f64 {
        self.mean_of_all(&self.all.decayed(now, self.half_life))
    }

    fn mean_of_all(&self, all: &DecayingSum) -> f64 {
        (all.sum + self.prior) / (all.weight + 1.0)
    }

    /// The estimate of a member; one without samples has the mean of all.
    pub fn estimate(&self, now: Ns, member: usize) -> Estimate {
        let own =
            self.members.get(member).map_or(DecayingSum::default(), |own| own.decayed(now, self.half_life));
        let all = self.all.decayed(now, self.half_life);
        let weight = own.weight + self.shrinkage;
        let mean = (own.sum + self.shrinkage * self.mean_of_all(&all)) / weight;
        Estimate { mean, confidence: own.weight / weight, error: (all.variance() / weight).sqrt() }
    }

    /// Estimates the shrinkage weight from how much the members' means vary beyond chance (method of moments).
    fn update_shrinkage(&mut self, now: Ns) {
        let decayed = self.members.iter().map(|member| member.decayed(now, self.half_life));
        let members: Vec<DecayingSum> = decayed.filter(|member| member.weight >= MIN_MEMBER_WEIGHT).collect();
        let total: f64 = members.iter().map(|member| member.weight).sum();
        if members.len() < MIN_MEMBERS || total < MIN_TOTAL_WEIGHT {
            return;
        }
        let within = self.variance_within(&members, total);
        let between = variance_between(&members, total, within);
        let measured = if between > 0.0 { within / between } else { MAX_SHRINKAGE };
        // Slowly, as the figure itself comes from few members; by its inverse, so that members that become different are
        // noticed soon.
        let inverse = 1.0 / self.shrinkage;
        let measured_inverse = 1.0 / measured.clamp(MIN_SHRINKAGE, MAX_SHRINKAGE);
        self.shrinkage = 1.0 / (inverse + UPDATE_RATE * (measured_inverse - inverse));
    }

    /// The variance of samples within members, pooled. Members with one sample tell nothing of it.
    fn variance_within(&self, members: &[DecayingSum], total: f64) -> f64 {
        let deviations =
            members.iter().map(|member| member.squares - member.sum * member.sum / member.weight);
        let sum_of_squares: f64 = deviations.sum();
        let degrees_of_freedom = total - members.len() as f64;
        if degrees_of_freedom > 1.0 {
            (sum_of_squares / degrees_of_freedom).max(MIN_VARIANCE)
        } else {
            self.all.variance()
        }
    }
}

/// The variance of the members' true means: that of the observed means without the part that the variance within members
/// explains. Negative if that part explains more than all.
fn variance_between(members: &[DecayingSum], total: f64, within: f64) -> f64 {
    let mean = members.iter().map(|member| member.sum).sum::<f64>() / total;
    let deviation = |member: &DecayingSum| member.weight * (member.sum / member.weight - mean).powi(2);
    let observed: f64 = members.iter().map(deviation).sum();
    let squared_weights: f64 = members.iter().map(|member| member.weight * member.weight).sum();
    let by_chance = (members.len() - 1) as f64 * within;
    (observed - by_chance) / (total - squared_weights / total).max(MIN_DIVISOR)
}
