//! The hierarchy versions that a trial proposes.

use super::settings::Trial;

/// The hierarchy settings of one proposal: with all parents for even numbers, with all but one for odd numbers.
pub(super) fn hierarchy_proposal(trial: &Trial, number: usize) -> String {
    // Far above the total load, so that neither a node nor the origin reaches its capacity.
    let capacity = 100.0 * trial.rate;
    let mut text = format!(
        "(hierarchy (version . 1) (ceiling . {capacity}) (hold-ms . 300) (settle-ms . 200) (give-up-ms . 60000) (warm-after-ms . 500))\n\
         (node (name . \"origin-0\") (tier . 0) (capacity . {capacity}))\n"
    );
    let left_out = (number % 2 == 1 && trial.parents > 1).then(|| number / 2 % trial.parents);
    let parents: Vec<usize> = (0..trial.parents).filter(|parent| Some(*parent) != left_out).collect();
    for parent in &parents {
        text += &format!(
            "(node (name . \"parent-{parent}\") (tier . 1) (sources \"origin-0\") (capacity . {capacity}))\n"
        );
    }
    let sources: Vec<String> = parents.iter().map(|parent| format!("\"parent-{parent}\"")).collect();
    let sources = sources.join(" ");
    let demand = trial.rate / trial.caches as f64;
    for cache in 0..trial.caches {
        text += &format!(
            "(node (name . \"cache-{cache}\") (tier . 2) (sources {sources}) (capacity . {capacity}) (demand . {demand}) (hit . {}))\n",
            trial.hits
        );
    }
    text
}
