//! The plan of what operators and other clients do while the faults of [`plan_faults`](super::plan_faults) are in
//! force: series of signals, and crowds of idle clients. It is drawn separately from the faults, so that the fault plan
//! of a seed does not depend on it.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{Options, Seconds};

/// Combined with the seed, so that this plan and the fault plan use different random numbers.
const SEED_OFFSET: u64 = 0x5e41_0c75;
/// The mean time between two series.
const MEAN_SERIES_INTERVAL_SECONDS: f64 = 2.5;
/// No series begins before this time, and none in the last second.
const FIRST_SERIES_AT: Seconds = 1.5;
/// The share of seeds that have a crowd.
const CROWD_PROBABILITY: f64 = 0.4;

/// A signal, or a pause without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalStep {
    /// SIGHUP.
    Reload,
    /// SIGTERM.
    Stop,
    /// SIGSTOP, and SIGCONT after this many seconds.
    Hold(f64),
    /// No signal for this many seconds.
    Wait(f64),
}

/// A series of signals to one director within a short time. If the series stops the director, it is started again at
/// the end.
#[derive(Clone, Debug, PartialEq)]
pub struct SignalSeries {
    /// Seconds since the soak began.
    pub at: Seconds,
    /// The director that gets the signals.
    pub director: usize,
    /// The signals, in order.
    pub steps: Vec<SignalStep>,
}

impl SignalSeries {
    /// Whether the series stops the director.
    pub fn stops(&self) -> bool {
        self.steps.contains(&SignalStep::Stop)
    }
}

/// Clients that connect to one director and send nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowd {
    /// Seconds since the soak began.
    pub at: Seconds,
    /// The director to which they connect.
    pub director: usize,
    /// The number of connections, which is more than the director accepts.
    pub connections: usize,
    /// How long they stay connected, in seconds.
    pub seconds: f64,
}

/// The signals and crowds of a soak.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePlan {
    /// The series of signals, ordered by time.
    pub signals: Vec<SignalSeries>,
    /// The crowd, if the seed has one.
    pub crowd: Option<Crowd>,
}

/// Returns the plan of a soak. The same options give the same plan.
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

/// Draws one series. The draws and their order must not change: they determine the plan of a seed.
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
