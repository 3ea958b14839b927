//! The identity of a member.

use serde::{Deserialize, Serialize};

/// One process of the fleet. A director that restarts keeps its number and gets a new, higher incarnation, so that
/// messages of the earlier process can be told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The director's number in the settings.
    pub number: u32,
    /// The time when the process started, in milliseconds since the Unix epoch. A process that starts after the clock
    /// was set back replaces it with a number above the incarnation that the voters know.
    #[serde(rename = "life")]
    pub incarnation: u64,
}
