//! Plans the steps from one version of the hierarchy to another.
//!
//! During a step each participant applies either the version before it or the version after it. Whoever applies which,
//! no fill may run in a loop, no cold node may get more load than it can take, and the origin has to stay below its
//! ceiling.
//!
//! Each node that changes has a track (`tracks`): the states that it passes through. A node that joins the ring of its
//! tier takes its virtual nodes in quarters, one that leaves gives them up in quarters, and one that changes its tier
//! does both, with its sources changed in between, when no one fills from it. A step advances any number of tracks by
//! any number of states.
//!
//! For small changes a breadth-first search (`search`) finds the fewest steps that there are. For large ones a sweep
//! (`sweep`) advances as many tracks as a step can take, those nearest to the origin first: a node whose new sources
//! are all in place can't close a loop, so that loops alone never stop the sweep.

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

/// The numbers of parts in which virtual nodes are taken and given up. A change for which no plan is found is tried
/// again with finer parts.
const SHARE_PARTS: [u16; 3] = [4, 16, 64];

/// The most combinations of states for which the fewest steps are searched.
const MAX_SEARCHED_STATES: usize = 768;

/// One step of a plan: the version that follows, and what the step costs.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    /// The version that is published.
    pub target: Hierarchy,
    /// The nodes that differ from the version before.
    pub changed_nodes: Vec<NodeId>,
    /// The most fetches a second that the origin can get during the step.
    pub origin_peak: f64,
    /// The fetches a second that the origin gets before the step.
    pub origin_before: f64,
    /// Requests a second that go to another node than before.
    pub moved_load: f64,
    /// The warmth that nodes need before the step.
    pub required_warmth: Vec<RequiredWarmth>,
    /// How long after the previous step this one may start at the earliest.
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
    /// The steps in their order; none if the two versions have the same nodes.
    pub steps: Vec<PlanStep>,
    /// Whether no plan over the same states has fewer steps.
    pub is_minimal: bool,
    /// How many candidate steps were evaluated.
    pub evaluations: usize,
}

/// Why there is no plan: the bound that was exceeded least.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    /// A fill could come back to a node that it has passed.
    #[error("after {done} of {of} moves a fill could run in a loop: {}", .path.join(" > "))]
    Cycle {
        /// The moves that were possible.
        done: usize,
        /// The moves of the whole change.
        of: usize,
        /// The nodes of the loop; the first and the last are the same.
        path: Vec<Arc<str>>,
    },
    /// A node could get requests while none of its sources leads to the origin.
    #[error(
        "after {done} of {of} moves {node} could get requests and has no path to the origin (give it a source)"
    )]
    NoPathToOrigin {
        /// The moves that were possible.
        done: usize,
        /// The moves of the whole change.
        of: usize,
        /// The node.
        node: Arc<str>,
    },
    /// A node would get more load than it can take.
    #[error(
        "after {done} of {of} moves {node} would get {load:.0} requests a second and could take {capacity:.0}: \
         raise its capacity, or start it earlier"
    )]
    NodeOverloaded {
        /// The moves that were possible.
        done: usize,
        /// The moves of the whole change.
        of: usize,
        /// The node.
        node: Arc<str>,
        /// Requests a second that it would get.
        load: f64,
        /// Requests a second that it can take then.
        capacity: f64,
    },
    /// The origin could get more load than its ceiling and margin leave.
    #[error(
        "after {done} of {of} moves the origin could get {peak:.0} fetches a second, of {limit:.0}: \
         raise the ceiling, or move less at a time"
    )]
    OriginOverloaded {
        /// The moves that were possible.
        done: usize,
        /// The moves of the whole change.
        of: usize,
        /// Fetches a second that it could get.
        peak: f64,
        /// Fetches a second that it may get.
        limit: f64,
    },
    /// The change is too large for the bound on the planner's work.
    #[error(
        "too much at once: {evaluations} steps were tried and none ended it; change fewer nodes at a time"
    )]
    TooLarge {
        /// The candidate steps that were evaluated.
        evaluations: usize,
    },
}

impl PlanError {
    /// How far past its bound a step was. The least excess of all candidates is what stands in the way of each plan.
    fn excess(&self) -> f64 {
        match self {
            PlanError::Cycle { .. } | PlanError::NoPathToOrigin { .. } => f64::MAX,
            PlanError::NodeOverloaded { load, capacity, .. } => load / capacity.max(f64::MIN_POSITIVE),
            PlanError::OriginOverloaded { peak, limit, .. } => peak / limit.max(f64::MIN_POSITIVE),
            PlanError::TooLarge { .. } => f64::INFINITY,
        }
    }

    /// The error with the smaller excess; the earlier one of two that are equal.
    fn milder(earlier: Option<PlanError>, later: PlanError) -> PlanError {
        earlier.filter(|earlier| earlier.excess() <= later.excess()).unwrap_or(later)
    }
}

/// The positions after each step of a plan.
struct Route {
    stops: Vec<Position>,
    is_minimal: bool,
}

/// Plans the steps from the committed version to one that was admitted, at the Unix time `now`.
///
/// # Errors
/// The bound that stands in the way if no plan was found.
pub fn plan(from: &Hierarchy, to: &Hierarchy, now: Ns) -> Result<Plan, PlanError> {
    let mut evaluations = 0;
    let mut mildest = None;
    for parts in SHARE_PARTS {
        let space = PlanSpace::new(from, to, now, parts);
        match find_route(&space, &mut evaluations) {
            Ok(route) => {
                let steps = schedule::steps(&space, &route.stops);
                return Ok(Plan { steps, is_minimal: route.is_minimal, evaluations });
            }
            Err(error) => mildest = Some(PlanError::milder(mildest, error)),
        }
    }
    Err(mildest.unwrap_or(PlanError::TooLarge { evaluations }))
}

fn find_route(space: &PlanSpace<'_>, evaluations: &mut usize) -> Result<Route, PlanError> {
    if space.state_count() <= MAX_SEARCHED_STATES {
        let mut searched = 0;
        let found = search::fewest_steps(space, &mut searched);
        *evaluations += searched;
        match found {
            // It may still be found with more steps than the fewest.
            Err(PlanError::TooLarge { .. }) => {}
            found => return found.map(|stops| Route { stops, is_minimal: true }),
        }
    }
    let mut swept = 0;
    let found = sweep::large_steps(space, &mut swept);
    *evaluations += swept;
    found.map(|stops| Route { stops, is_minimal: false })
}

/// A single step from one version to another, without any check: to revert a step, and for comparison.
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
