//! One value of each member of a group: a failure's share, a late answer's, a speed.

use crate::Ns;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    /// How much of it rests on the member's own samples: 0 none, 1 all.
    pub confidence: f64,
    /// Standard error of the mean.
    pub error: f64,
}

/// Samples that fade: sums of weights, values and squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Faded {
    weight: f64,
    sum: f64,
    squares: f64,
    at: Ns,
}

impl Faded {
    fn fade(&mut self, now: Ns, half_life: Ns) {
        if now > self.at {
            let left = (-((now - self.at) as f64 / half_life as f64)).exp2();
            self.weight *= left;
            self.sum *= left;
            self.squares *= left;
            self.at = now;
        }
    }

    fn variance(&self) -> f64 {
        let n = self.weight.max(1e-9);
        (self.squares / n - (self.sum / n).powi(2)).max(1e-6)
    }

    fn faded(mut self, now: Ns, half_life: Ns) -> Faded {
        self.fade(now, half_life);
        self
    }
}

#[derive(Clone, Debug)]
pub struct ShrinkageEstimator {
    half_life: Ns,
    /// The most samples of a member that count: with many of them the newest are enough.
    most: f64,
    /// What is believed with no sample at all; it is worth one.
    prior: f64,
    members: Vec<Faded>,
    all: Faded,
    /// How many samples the group's mean is worth at a member: what they vary by over how unlike members are.
    shrink: f64,
    reckoned: Ns,
}

/// Bounds of that: members that are all alike, members that have nothing to do with one another.
const MOST_SHRINK: f64 = 200.0;
const LEAST_SHRINK: f64 = 0.5;
/// How often it is reckoned anew, in half-lives.
const EVERY: u64 = 8;

impl ShrinkageEstimator {
    /// Samples count half after `half_life`; a member's newest `most` count at all; `prior` is believed at the start.
    pub fn new(half_life: Ns, most: f64, prior: f64) -> ShrinkageEstimator {
        let half_life = half_life.max(1);
        let (members, all) = (Vec::new(), Faded::default());
        ShrinkageEstimator { half_life, most, prior, members, all, shrink: 10.0, reckoned: 0 }
    }

    /// A sample of a member; one that is no number is passed over.
    pub fn record(&mut self, now: Ns, member: usize, value: f64) {
        if !value.is_finite() {
            return;
        }
        if self.members.len() <= member {
            self.members.resize(member + 1, Faded::default());
        }
        let one = &mut self.members[member];
        one.fade(now, self.half_life);
        if one.weight >= self.most {
            let left = (self.most - 1.0).max(0.0) / one.weight;
            one.weight *= left;
            one.sum *= left;
            one.squares *= left;
        }
        for to in [one, &mut self.all] {
            to.fade(now, self.half_life);
            to.weight += 1.0;
            to.sum += value;
            to.squares += value * value;
        }
        if now >= self.reckoned + self.half_life / EVERY {
            self.reckoned = now;
            self.reckon(now);
        }
    }

    /// Forgets a member, as its place in the list is another's now.
    pub fn forget(&mut self, member: usize) {
        if let Some(one) = self.members.get_mut(member) {
            *one = Faded::default();
        }
    }

    /// What all of them show.
    pub fn mean(&self, now: Ns) -> f64 {
        self.mean_of(&self.all.faded(now, self.half_life))
    }

    fn mean_of(&self, all: &Faded) -> f64 {
        (all.sum + self.prior) / (all.weight + 1.0)
    }

    pub fn estimate(&self, now: Ns, member: usize) -> Estimate {
        let own = self.members.get(member).map_or(Faded::default(), |m| m.faded(now, self.half_life));
        let all = self.all.faded(now, self.half_life);
        let weight = own.weight + self.shrink;
        let mean = (own.sum + self.shrink * self.mean_of(&all)) / weight;
        Estimate { mean, confidence: own.weight / weight, error: (all.variance() / weight).sqrt() }
    }

    /// How unlike members are, by how much their means vary beyond what chance would do (method of moments).
    fn reckon(&mut self, now: Ns) {
        let faded: Vec<Faded> =
            self.members.iter().map(|m| m.faded(now, self.half_life)).filter(|m| m.weight >= 0.5).collect();
        let total: f64 = faded.iter().map(|m| m.weight).sum();
        if faded.len() < 3 || total < 6.0 {
            return;
        }
        let mean = faded.iter().map(|m| m.sum).sum::<f64>() / total;
        // Within members, pooled; members with one sample tell nothing of it.
        let inside: f64 = faded.iter().map(|m| m.squares - m.sum * m.sum / m.weight).sum();
        let free = total - faded.len() as f64;
        let within = if free > 1.0 { (inside / free).max(1e-6) } else { self.all.variance() };
        let between: f64 = faded.iter().map(|m| m.weight * (m.sum / m.weight - mean).powi(2)).sum();
        let squares: f64 = faded.iter().map(|m| m.weight * m.weight).sum();
        let spread = (between - (faded.len() - 1) as f64 * within) / (total - squares / total).max(1e-9);
        let shrink = if spread > 0.0 { within / spread } else { MOST_SHRINK };
        // Slowly, as the figure itself comes from few members, and by its inverse: that members have become unlike is
        // to be believed soon.
        let inverse = 1.0 / self.shrink;
        self.shrink = 1.0 / (inverse + 0.3 * (1.0 / shrink.clamp(LEAST_SHRINK, MOST_SHRINK) - inverse));
    }
}
