//! Plans the steps from one version of the hierarchy to another.
//!
//! During a step each participant applies either the version before the step or the version after it. Whichever each of
//! them applies, no fill may run in a loop, no cold node may get more load than it can take, and the load of the origin
//! has to stay below the ceiling less the margin.
//!
//! Each node that changes has a track (`tracks`): the sequence of states that it passes through. A node that joins the
//! ring of its tier takes its virtual nodes in equal parts, and a node that leaves gives them up in equal parts. A node
//! that changes its tier or was restarted does both: its tier and sources change only after it has given up all virtual
//! nodes, when no node fills from it any more. A step advances any number of tracks by any number of states.
//!
//! For small changes, a breadth-first search (`search`) finds a plan with the fewest steps. For large changes, a greedy
//! sweep (`sweep`) advances as many tracks in each step as the bounds allow, those of the nodes nearest to the origin
//! first. A node whose new sources are all in place can't close a loop, so loops alone never block the sweep.

mod schedule;
mod search;
mod sweep;
mod tracks;

use std::sync::Arc;

use sablecross::Ns;
use thiserror::Error;

use self::tracks::{PlanSpace, Position};
use crate::version::{Hierarchy, NodeId};

pub use self::sweep::MAX_SWEEP_EVALUATIONS;

/// The numbers of equal parts in which nodes take and give up their virtual nodes. If no plan is found with one number,
/// the next one is tried, so that less load moves at a time.
const SHARE_PARTS: [u16; 3] = [4, 16, 64];

/// The largest number of combinations of states for which the fewest steps are searched.
const MAX_SEARCHED_STATES: usize = 768;

/// One step of a plan: the version that it publishes, its load and its preconditions.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    /// The version that is published.
    pub target: Hierarchy,
    /// The nodes that differ from the previous version.
    pub changed_nodes: Vec<NodeId>,
    /// The peak load of the origin during the step, in fetches per second.
    pub origin_peak: f64,
    /// The load of the origin before the step, in fetches per second.
    pub origin_before: f64,
    /// The sum over all nodes except the origin of the load that the step moves to them, in requests per second.
    pub moved_load: f64,
    /// The warmth that nodes need before the step.
    pub required_warmth: Vec<RequiredWarmth>,
    /// The minimum time between the previous step and this one.
    pub min_delay: Ns,
}

/// The warmth that a node needs before a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequiredWarmth {
    /// The node.
    pub node: NodeId,
    /// The warmth, from 0 to 1.
    pub warmth: f64,
}

/// The steps of a change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The steps in order; none if the two versions have the same nodes.
    pub steps: Vec<PlanStep>,
    /// Whether the plan is known to have the fewest steps of all plans over the same states.
    pub is_minimal: bool,
    /// The number of candidate steps that were evaluated.
    pub evaluations: usize,
}

/// Why no plan was found. The search reports the bound that its candidate steps exceeded the least, and the sweep the
/// bound that its last candidate step violated. Of the errors for the different numbers of parts, the one with the
/// smallest excess is reported.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    /// A fill could return to a node that it has passed.
    #[error("after {done} of {of} moves a fill could run in a loop: {}", .path.join(" > "))]
    Cycle {
        /// The number of state changes (moves) before the step that violates the bound.
        done: usize,
        /// The number of state changes (moves) of the whole change.
        of: usize,
        /// The nodes of the loop; the first and the last node are the same.
        path: Vec<Arc<str>>,
    },
    /// A node could get requests while none of its sources leads to the origin.
    #[error(
        "after {done} of {of} moves {node} could get requests and has no path to the origin (give it a source)"
    )]
    NoPathToOrigin {
        /// The number of state changes (moves) before the step that violates the bound.
        done: usize,
        /// The number of state changes (moves) of the whole change.
        of: usize,
        /// The node.
        node: Arc<str>,
    },
    /// A node could get more load than it can take.
    #[error(
        "after {done} of {of} moves {node} would get {load:.0} requests a second and could take {capacity:.0}: \
         raise its capacity, or start it earlier"
    )]
    NodeOverloaded {
        /// The number of state changes (moves) before the step that violates the bound.
        done: usize,
        /// The number of state changes (moves) of the whole change.
        of: usize,
        /// The node.
        node: Arc<str>,
        /// The load in requests per second.
        load: f64,
        /// The capacity at the node's warmth, in requests per second.
        capacity: f64,
    },
    /// The origin could get more load than the ceiling less the margin.
    #[error(
        "after {done} of {of} moves the origin could get {peak:.0} fetches a second, of {limit:.0}: \
         raise the ceiling, or move less at a time"
    )]
    OriginOverloaded {
        /// The number of state changes (moves) before the step that violates the bound.
        done: usize,
        /// The number of state changes (moves) of the whole change.
        of: usize,
        /// The peak load in fetches per second.
        peak: f64,
        /// The limit in fetches per second.
        limit: f64,
    },
    /// The change is too large for the limit on evaluated candidate steps.
    #[error(
        "the change is too large: no plan was found after {evaluations} candidate steps; change fewer nodes at a time"
    )]
    TooLarge {
        /// The number of candidate steps that were evaluated.
        evaluations: usize,
    },
}

impl PlanError {
    /// The ratio of a step's load to its bound; a loop or a missing path counts as larger than any ratio. The candidate
    /// with the smallest excess is the one that is closest to being allowed, so its bound is the one to report.
    fn excess(&self) -> f64 {
        match self {
            PlanError::Cycle { .. } | PlanError::NoPathToOrigin { .. } => f64::MAX,
            PlanError::NodeOverloaded { load, capacity, .. } => load / capacity.max(f64::MIN_POSITIVE),
            PlanError::OriginOverloaded { peak, limit, .. } => peak / limit.max(f64::MIN_POSITIVE),
            PlanError::TooLarge { .. } => f64::INFINITY,
        }
    }

    /// Returns the error with the smaller excess, or the earlier one if both are equal.
    fn with_smaller_excess(earlier: Option<PlanError>, later: PlanError) -> PlanError {
        earlier.filter(|earlier| earlier.excess() <= later.excess()).unwrap_or(later)
    }
}

/// The position after each step of a plan.
struct StepPositions {
    positions: Vec<Position>,
    is_minimal: bool,
}

/// Plans the steps from the committed version to an admitted one, at the Unix time `now`.
///
/// # Errors
/// Returns the bound that prevents a plan if no plan was found; see [`PlanError`].
pub fn plan(from: &Hierarchy, to: &Hierarchy, now: Ns) -> Result<Plan, PlanError> {
    let mut evaluations = 0;
    let mut least_exceeded = None;
    for parts in SHARE_PARTS {
        let space = PlanSpace::new(from, to, now, parts);
        match find_steps(&space, &mut evaluations) {
            Ok(found) => {
                let steps = schedule::steps(&space, &found.positions);
                return Ok(Plan { steps, is_minimal: found.is_minimal, evaluations });
            }
            Err(error) => least_exceeded = Some(PlanError::with_smaller_excess(least_exceeded, error)),
        }
    }
    Err(least_exceeded.unwrap_or(PlanError::TooLarge { evaluations }))
}

fn find_steps(space: &PlanSpace<'_>, evaluations: &mut usize) -> Result<StepPositions, PlanError> {
    if space.state_count() <= MAX_SEARCHED_STATES {
        let mut searched = 0;
        let found = search::fewest_steps(space, &mut searched);
        *evaluations += searched;
        match found {
            // The sweep may still find a plan, though not one with the fewest steps.
            Err(PlanError::TooLarge { .. }) => {}
            found => return found.map(|positions| StepPositions { positions, is_minimal: true }),
        }
    }
    let mut swept = 0;
    let found = sweep::large_steps(space, &mut swept);
    *evaluations += swept;
    found.map(|positions| StepPositions { positions, is_minimal: false })
}

/// Returns a single step from one version to another without any check. It serves to revert a step, to change rules
/// alone, and for comparison with a plan.
pub fn direct_step(from: &Hierarchy, to: &Hierarchy) -> PlanStep {
    PlanStep {
        target: to.clone(),
        changed_nodes: from.diff(to).map(|difference| difference.node).collect(),
        origin_peak: 0.0,
        origin_before: 0.0,
        moved_load: 0.0,
        required_warmth: Vec::new(),
        min_delay: 0,
    }
}
