//! Finds the fewest steps of a small change: breadth first over all combinations of states.

use super::PlanError;
use super::tracks::{PlanSpace, Position};

/// The most candidate steps that are evaluated. Each costs time in proportion to nodes and sources.
const MAX_SEARCH_EVALUATIONS: usize = 8_000;

/// A state is an index into `positions`; the first is the start, the last the end of all tracks.
struct Search<'a> {
    space: &'a PlanSpace<'a>,
    positions: Vec<Position>,
    /// The state from which each state was reached first.
    parents: Vec<Option<usize>>,
    reached: Vec<bool>,
    mildest: Option<PlanError>,
}

/// The positions after each of the fewest steps.
///
/// # Errors
/// The bound that stands in the way, or [`PlanError::TooLarge`].
pub(super) fn fewest_steps(
    space: &PlanSpace<'_>,
    evaluations: &mut usize,
) -> Result<Vec<Position>, PlanError> {
    let mut search = Search::new(space);
    let mut level = vec![0];
    while !search.is_goal_reached() && !level.is_empty() {
        level = search.next_level(&level, evaluations)?;
    }
    if search.is_goal_reached() {
        return Ok(search.route());
    }
    Err(search.mildest.unwrap_or(PlanError::TooLarge { evaluations: *evaluations }))
}

impl<'a> Search<'a> {
    fn new(space: &'a PlanSpace<'a>) -> Search<'a> {
        let positions = all_positions(space);
        let mut reached = vec![false; positions.len()];
        reached[0] = true;
        Search { space, parents: vec![None; positions.len()], positions, reached, mildest: None }
    }

    fn goal(&self) -> usize {
        self.positions.len() - 1
    }

    fn is_goal_reached(&self) -> bool {
        self.reached[self.goal()]
    }

    /// The states that one step from a state of this level reaches, and no earlier step did.
    fn next_level(&mut self, level: &[usize], evaluations: &mut usize) -> Result<Vec<usize>, PlanError> {
        let mut next = Vec::new();
        for &from in level {
            self.expand(from, evaluations, &mut next)?;
            if self.is_goal_reached() {
                break;
            }
        }
        Ok(next)
    }

    fn expand(
        &mut self,
        from: usize,
        evaluations: &mut usize,
        next: &mut Vec<usize>,
    ) -> Result<(), PlanError> {
        // A state that is reached contains no loop: its step was checked.
        let Ok(before) = self.space.flow_graph(&self.positions[from]) else { return Ok(()) };
        // Those that advance the most come first, so that of plans with equally many steps the quicker one is found.
        for to in (from + 1..self.positions.len()).rev() {
            if self.reached[to] || !is_ahead(&self.positions[from], &self.positions[to]) {
                continue;
            }
            if *evaluations >= MAX_SEARCH_EVALUATIONS {
                return Err(PlanError::TooLarge { evaluations: *evaluations });
            }
            match self.space.evaluate(&before, &self.positions[to], evaluations) {
                Ok(_) => {
                    self.reached[to] = true;
                    self.parents[to] = Some(from);
                    next.push(to);
                    if to == self.goal() {
                        break;
                    }
                }
                Err(violation) => {
                    let error = self.space.error(&self.positions[from], violation);
                    self.mildest = Some(PlanError::milder(self.mildest.take(), error));
                }
            }
        }
        Ok(())
    }

    /// The positions from the start, without it, to the goal.
    fn route(&self) -> Vec<Position> {
        let mut stops = Vec::new();
        let mut state = self.goal();
        while let Some(parent) = self.parents[state] {
            stops.push(self.positions[state].clone());
            state = parent;
        }
        stops.reverse();
        stops
    }
}

/// All combinations of the tracks' states, in lexicographic order.
fn all_positions(space: &PlanSpace<'_>) -> Vec<Position> {
    let sizes: Vec<usize> = space.end().iter().map(|&last| usize::from(last) + 1).collect();
    let decode = |mut code: usize| {
        let mut position = vec![0; sizes.len()];
        for (track, size) in sizes.iter().enumerate().rev() {
            position[track] = (code % size) as u16;
            code /= size;
        }
        position
    };
    (0..space.state_count()).map(decode).collect()
}

/// Whether no track goes back from one position to the other.
fn is_ahead(from: &Position, to: &Position) -> bool {
    from.iter().zip(to).all(|(from, to)| to >= from)
}
