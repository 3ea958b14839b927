//! Finds the fewest steps of a small change by a breadth-first search over all combinations of states.

use super::PlanError;
use super::tracks::{PlanSpace, Position};

/// The maximum number of candidate steps that are evaluated. The time of each is proportional to the number of nodes and
/// sources.
const MAX_SEARCH_EVALUATIONS: usize = 8_000;

/// A breadth-first search. A state is an index into `positions`: the first is the start of all tracks, the last their end.
struct Search<'a> {
    space: &'a PlanSpace<'a>,
    positions: Vec<Position>,
    /// The state from which each state was reached first; `None` for the start and for states not reached.
    parents: Vec<Option<usize>>,
    reached: Vec<bool>,
    least_exceeded: Option<PlanError>,
}

/// Finds the positions after each step of a plan with the fewest steps.
///
/// # Errors
/// Returns the bound with the smallest excess if there is no plan, or [`PlanError::TooLarge`] if the limit on evaluated
/// candidate steps is reached first.
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
        return Ok(search.positions_to_goal());
    }
    Err(search.least_exceeded.unwrap_or(PlanError::TooLarge { evaluations: *evaluations }))
}

impl<'a> Search<'a> {
    fn new(space: &'a PlanSpace<'a>) -> Search<'a> {
        let positions = all_positions(space);
        let mut reached = vec![false; positions.len()];
        reached[0] = true;
        Search { space, parents: vec![None; positions.len()], positions, reached, least_exceeded: None }
    }

    fn goal(&self) -> usize {
        self.positions.len() - 1
    }

    fn is_goal_reached(&self) -> bool {
        self.reached[self.goal()]
    }

    /// Finds the states that one step from a state of this level reaches and that were not reached before.
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
        // A reached state contains no loop, because the step that reached it was checked.
        let Ok(before) = self.space.flow_graph(&self.positions[from]) else { return Ok(()) };
        // States are tried in descending order, those that advance the first tracks the most first, so that of plans
        // with equally many steps one that advances these tracks early is found.
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
                    self.least_exceeded =
                        Some(PlanError::with_smaller_excess(self.least_exceeded.take(), error));
                }
            }
        }
        Ok(())
    }

    /// The positions on the way from the start to the goal, without the start.
    fn positions_to_goal(&self) -> Vec<Position> {
        let mut path = Vec::new();
        let mut state = self.goal();
        while let Some(parent) = self.parents[state] {
            path.push(self.positions[state].clone());
            state = parent;
        }
        path.reverse();
        path
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

/// Whether no track is at an earlier state in `to` than in `from`.
fn is_ahead(from: &Position, to: &Position) -> bool {
    from.iter().zip(to).all(|(from, to)| to >= from)
}
