//! The credit of a cold node: the requests that it may still be sent.

use crate::class_counts::ClassCounts;
use crate::types::Settings;

/// The requests for which a director may save credit: one, and so many more divided by the square root of the directors
/// that share the node. Together they must not save up what makes a cold node collapse.
const SAVED_REQUESTS_SHARED: f64 = 2.0;
/// A class earns and saves more than its part of the credit, as the mix of requests at one director varies: so many times
/// its part...
const CLASS_EARNING_MULTIPLE: f64 = 1.5;
/// ...and so many times what may be saved for all.
const CLASS_SAVING_MULTIPLE: f64 = 2.0;

/// The credit of a cold node at one director.
///
/// It is counted in requests, and limited for each class. Classes differ in the work of a request, and how much is known
/// only by means that move: credit that one class earned must not be spent by another.
#[derive(Clone, Debug)]
pub(crate) struct Credit {
    /// Directors that share a node take turns at it: the part of a request by which this one comes later.
    turn: f64,
    /// What requests of all classes have earned and not spent.
    of_all: f64,
    /// The same for each class; a request may go out from this director's turn on.
    by_class: ClassCounts,
}

impl Credit {
    /// The credit of a node that was just listed, which `sharers` directors share. Their turns go by their index.
    pub(crate) fn initial(settings: &Settings, sharers: f64) -> Credit {
        let turn = settings.director_index as f64 % sharers / sharers;
        Credit { turn, of_all: -turn, by_class: ClassCounts::default() }
    }

    /// Adds a part of these requests; what may not be saved is lost. `sharing` is the square root of the number of
    /// directors that share the node.
    pub(super) fn earn(&mut self, requests: &ClassCounts, part: f64, sharing: f64) {
        let max_saved = 1.0 + SAVED_REQUESTS_SHARED / sharing;
        self.of_all = (self.of_all + part * requests.total()).min(max_saved);
        self.by_class.add_part(requests, CLASS_EARNING_MULTIPLE * part);
        self.by_class.limit(CLASS_SAVING_MULTIPLE * max_saved + self.turn - 1.0);
    }

    /// Whether a request of this class may go out.
    pub(super) fn covers(&self, class: usize) -> bool {
        self.of_all >= 1.0 && self.by_class.of(class) >= self.turn
    }

    /// Takes off a request that goes out.
    pub(crate) fn spend(&mut self, class: usize) {
        self.of_all -= 1.0;
        self.by_class.add(class, -1.0);
    }
}
