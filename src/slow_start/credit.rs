//! The credit of a cold node: the number of requests that it may still be sent.

use crate::class_counts::ClassCounts;
use crate::types::Settings;

/// A director may save credit for one request plus this number divided by the square root of the number of directors
/// that share the node. All directors together must not save enough to make a cold node collapse.
const SHARED_SAVED_REQUESTS: f64 = 2.0;
/// A class earns this multiple of its share of the credit, because the mix of requests at one director varies.
const CLASS_EARNING_MULTIPLE: f64 = 1.5;
/// A class saves up to this multiple of the credit that may be saved for all classes together.
const CLASS_SAVING_MULTIPLE: f64 = 2.0;

/// The credit of a cold node at one director.
///
/// Credit is counted in requests and also limited per class. Classes differ in the work of a request, and that work
/// is known only as means that change over time, so credit that one class earned must not be spent by another.
#[derive(Clone, Debug)]
pub(crate) struct Credit {
    /// The part of a request by which this director's credit is delayed, in [0, 1). It differs between the
    /// directors that share the node, so that they do not send at the same time.
    stagger: f64,
    /// The credit that requests of all classes have earned and not spent.
    total: f64,
    /// The same per class. A request may be sent once its class has at least `stagger`.
    by_class: ClassCounts,
}

impl Credit {
    /// The initial credit of a node that was just listed and that `directors` directors share. The index of this
    /// director determines its stagger.
    pub(crate) fn initial(settings: &Settings, directors: f64) -> Credit {
        let stagger = settings.director_index as f64 % directors / directors;
        Credit { stagger, total: -stagger, by_class: ClassCounts::default() }
    }

    /// Earns credit for a share of these requests; credit beyond what may be saved is lost. `sharing_factor` is the
    /// square root of the number of directors that share the node.
    pub(super) fn earn(&mut self, requests: &ClassCounts, share: f64, sharing_factor: f64) {
        let max_saved = 1.0 + SHARED_SAVED_REQUESTS / sharing_factor;
        self.total = (self.total + share * requests.total()).min(max_saved);
        self.by_class.add_scaled(requests, CLASS_EARNING_MULTIPLE * share);
        self.by_class.cap_each(CLASS_SAVING_MULTIPLE * max_saved + self.stagger - 1.0);
    }

    /// Whether a request of this class may be sent.
    pub(super) fn covers(&self, class: usize) -> bool {
        self.total >= 1.0 && self.by_class.count_of(class) >= self.stagger
    }

    /// Spends credit on a request that is sent.
    pub(crate) fn spend(&mut self, class: usize) {
        self.total -= 1.0;
        self.by_class.add(class, -1.0);
    }
}
