//! Plans a large change with a greedy sweep: each step advances as many tracks as the bounds allow.

use super::PlanError;
use super::tracks::{PlanSpace, Position};
use crate::load_flow::{FlowGraph, TransitionViolation};

/// The maximum number of candidate steps that are evaluated. The time of each is proportional to the number of nodes and
/// sources.
pub const MAX_SWEEP_EVALUATIONS: usize = 4_000;

/// A step under construction.
struct StepBuilder<'a> {
    space: &'a PlanSpace<'a>,
    before: &'a FlowGraph<'a>,
    end: &'a Position,
    /// The furthest position that no bound forbids, of those tried so far.
    position: Position,
    last_violation: Option<TransitionViolation>,
    evaluations: &'a mut usize,
}

/// Finds the positions after each step of a plan that advances all tracks to their end.
///
/// # Errors
/// Returns the bound that prevents any advance, if one does, or [`PlanError::TooLarge`] if no further advance was found
/// when the limit on evaluated candidate steps was reached.
pub(super) fn large_steps(
    space: &PlanSpace<'_>,
    evaluations: &mut usize,
) -> Result<Vec<Position>, PlanError> {
    let end = space.end();
    let mut position: Position = vec![0; end.len()];
    let mut positions = Vec::new();
    while position != end {
        let before = space
            .flow_graph(&position)
            .map_err(|cycle| space.error(&position, TransitionViolation::Cycle(cycle)))?;
        let unfinished: Vec<usize> = (0..end.len()).filter(|&track| position[track] < end[track]).collect();
        let mut step = StepBuilder {
            space,
            before: &before,
            end: &end,
            position: position.clone(),
            last_violation: None,
            evaluations,
        };
        step.advance(&unfinished);
        let StepBuilder { position: next, last_violation, .. } = step;
        if next == position {
            if *evaluations >= MAX_SWEEP_EVALUATIONS {
                return Err(PlanError::TooLarge { evaluations: *evaluations });
            }
            let violation = last_violation.unwrap_or(TransitionViolation::Cycle(Vec::new()));
            return Err(space.error(&position, violation));
        }
        position = next;
        positions.push(position.clone());
    }
    Ok(positions)
}

impl StepBuilder<'_> {
    /// Advances these tracks as far as possible: all of them to their end at once, or else each half of them separately.
    fn advance(&mut self, tracks: &[usize]) {
        if tracks.is_empty() || *self.evaluations >= MAX_SWEEP_EVALUATIONS {
            return;
        }
        let mut candidate = self.position.clone();
        tracks.iter().for_each(|&track| candidate[track] = self.end[track]);
        if self.accept(candidate) {
            return;
        }
        if let [track] = tracks {
            self.advance_partly(*track);
        } else {
            let (first, rest) = tracks.split_at(tracks.len() / 2);
            self.advance(first);
            self.advance(rest);
        }
    }

    /// Advances one track by half of its remaining states or, if that violates a bound, by a quarter of them, and so on
    /// down to one state.
    fn advance_partly(&mut self, track: usize) {
        let mut states = (self.end[track] - self.position[track]) / 2;
        while states > 0 {
            let mut candidate = self.position.clone();
            candidate[track] += states;
            if self.accept(candidate) {
                return;
            }
            states /= 2;
        }
    }

    /// Makes the candidate the position of the step if it violates no bound. Returns whether it did.
    fn accept(&mut self, candidate: Position) -> bool {
        match self.space.evaluate(self.before, &candidate, self.evaluations) {
            Ok(_) => {
                self.position = candidate;
                true
            }
            Err(violation) => {
                self.last_violation = Some(violation);
                false
            }
        }
    }
}
