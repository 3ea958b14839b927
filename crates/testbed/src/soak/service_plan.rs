//! What operators and other clients do while the faults of [`plan_faults`](super::plan_faults) are in force: signals in
//! series, and crowds of idle clients. Drawn apart from the faults, so that a seed keeps its plan of those.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{Options, Seconds};

/// Tells the draws of this plan from those of the faults.
const SEED_OFFSET: u64 = 0x5e41_0c75;
/// The mean time between two series.
const MEAN_SERIES_INTERVAL_SECONDS: f64 = 2.5;
/// No series begins before this, and none in the last second.
const FIRST_SERIES_AT: Seconds = 1.5;
/// The part of all seeds that have a crowd.
const CROWD_PROBABILITY: f64 = 0.4;

/// A signal, or a time without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalStep {
    /// SIGHUP.
    Reload,
    /// SIGTERM.
    Stop,
    /// SIGSTOP, and SIGCONT after so many seconds.
    Hold(f64),
    /// Nothing for so many seconds.
    Wait(f64),
}

/// Signals to one director shortly after one another. One that stops it is followed by its start.
#[derive(Clone, Debug, PartialEq)]
pub struct SignalSeries {
    /// Seconds since the soak began.
    pub at: Seconds,
    /// Which director.
    pub director: usize,
    /// In their order.
    pub steps: Vec<SignalStep>,
}

impl SignalSeries {
    /// Whether it stops the director.
    pub fn stops(&self) -> bool {
        self.steps.contains(&SignalStep::Stop)
    }
}

/// Clients of one director that connect and say nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowd {
    /// Seconds since the soak began.
    pub at: Seconds,
    /// Which director.
    pub director: usize,
    /// How many connections: more than the director has places.
    pub connections: usize,
    /// How long they stay.
    pub seconds: f64,
}

/// What is done beside the faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePlan {
    /// Ordered by time.
    pub signals: Vec<SignalSeries>,
    /// At most one.
    pub crowd: Option<Crowd>,
}

/// The plan of a soak. The same options give the same plan.
pub fn plan_service(options: &Options) -> ServicePlan {
    let mut rng = Pcg32::seed_from_u64(options.seed ^ SEED_OFFSET);
    let crowd = (rng.random::<f64>() < CROWD_PROBABILITY).then(|| Crowd {
        at: options.seconds as f64 * (0.2 + 0.3 * rng.random::<f64>()),
        director: rng.random_range(0..options.directors),
        connections: rng.random_range(100..160),
        seconds: 2.0 + 4.0 * rng.random::<f64>(),
    });
    let mut signals = Vec::new();
    let mut at = FIRST_SERIES_AT;
    loop {
        at += MEAN_SERIES_INTERVAL_SECONDS * (0.4 + 1.2 * rng.random::<f64>());
        if at >= options.seconds as f64 - 1.0 {
            return ServicePlan { signals, crowd };
        }
        let director = rng.random_range(0..options.directors);
        signals.push(SignalSeries { at, director, steps: draw_steps(&mut rng) });
    }
}

/// Draws one series. Every draw of the generator, and their order, belong to what a seed stands for.
fn draw_steps(rng: &mut Pcg32) -> Vec<SignalStep> {
    use SignalStep::{Hold, Reload, Stop, Wait};
    let short = Wait(0.05 * rng.random::<f64>());
    let long = Wait(0.6 * rng.random::<f64>());
    let hold = Hold(0.05 + 0.45 * rng.random::<f64>());
    match rng.random_range(0..7) {
        0 => vec![Reload, short, Reload, short, Reload, Reload],
        1 => vec![Reload, short, Stop],
        2 => vec![Stop, short, Reload],
        3 => vec![Stop, long, Stop],
        4 => vec![Stop, long, hold, short, hold],
        5 => vec![Reload, hold, Stop, short, hold],
        _ => vec![hold, Reload, short, hold],
    }
}
