//! Changes of mode, each of which is written to the log as one line. Operators match these lines, which
//! `docs/on-call.md` explains.

use std::fmt;

use crate::load_shedding::OverloadChange;
use crate::outlier_ejection::HealthChange;

/// A change of mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ModeChange {
    /// The members of a ring, or the numbers of virtual nodes that they withhold, have changed.
    Members { now: usize, before: usize },
    /// A node was ejected or restored.
    Health { node: usize, change: HealthChange },
    /// A burst of an object has begun: its rate exceeds the threshold. Both are in kilobytes per window, or in requests
    /// per window where sizes are unknown.
    BurstBegins { object: u64, rate: f64, threshold: f64 },
    /// The bursts of this many objects have ended.
    BurstsEnd { objects: usize },
    /// An overload of the location has begun or ended.
    Overload(OverloadChange),
}

impl fmt::Display for ModeChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match *self {
            ModeChange::Members { now, before } => write!(f, "list members={now} before={before}"),
            ModeChange::Health { node, change: HealthChange::Ejected { failure_rate } } => {
                write!(f, "down node={node} failing={failure_rate:.2}")
            }
            ModeChange::Health { node, change: HealthChange::Restored { failure_rate } } => {
                write!(f, "up node={node} failing={failure_rate:.2}")
            }
            ModeChange::BurstBegins { object, rate, threshold } => {
                write!(f, "burst object={object} rate={rate:.0} over={threshold:.0}")
            }
            ModeChange::BurstsEnd { objects } => write!(f, "burst over objects={objects}"),
            ModeChange::Overload(OverloadChange { is_overloaded: true, late_share }) => {
                write!(f, "jam late={late_share:.2}")
            }
            ModeChange::Overload(OverloadChange { is_overloaded: false, late_share }) => {
                write!(f, "jam over late={late_share:.2}")
            }
        }
    }
}
