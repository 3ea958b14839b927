//! Changes of mode, each a line of the log. Operators read these lines and `docs/on-call.md` explains them.

use std::fmt;

use crate::load_shedding::OverloadChange;
use crate::outlier_ejection::HealthChange;

/// A change of mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ModeChange {
    /// The members of a ring changed, or how many virtual nodes they withhold.
    Members { now: usize, before: usize },
    /// A node was ejected or restored.
    Health { node: usize, change: HealthChange },
    /// An object is in burst: its rate exceeds the threshold.
    BurstBegins { object: u64, rate: f64, threshold: f64 },
    /// So many objects are no longer in burst.
    BurstsEnd { objects: usize },
    /// The location is overloaded, or no longer is.
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
