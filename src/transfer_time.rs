//! How long it takes to send an answer: by its size where it is known, else by what was seen before. Numbers of requests
//! are weighed by it.

use crate::types::{MILLISECOND, Ns, Request, SECOND, Settings};

/// What an attempt takes beside its transfer, by and large.
pub(crate) const BASE_LATENCY: Ns = 40 * MILLISECOND;
/// The weight of one request in the mean of its class, which so follows some fifty requests.
const MEAN_GAIN: f64 = 0.02;
/// Before anything is seen, the mean of a class is its latency objective divided by this: answers are to be well
/// within it.
const OBJECTIVE_TO_MEAN: f64 = 2.0;

/// The transfer times of all request classes, in nanoseconds.
#[derive(Clone, Debug)]
pub(crate) struct TransferTimes {
    stream_kb_per_s: f64,
    mean_by_class: Vec<f64>,
}

impl TransferTimes {
    pub(crate) fn new(settings: &Settings) -> Self {
        let initial = settings.request_classes.iter();
        let mean_by_class = initial.map(|class| class.latency_objective as f64 / OBJECTIVE_TO_MEAN).collect();
        TransferTimes { stream_kb_per_s: settings.stream_kb_per_s, mean_by_class }
    }

    /// The transfer time of a request by its size, where that is known.
    pub(crate) fn by_size(&self, request: &Request) -> Option<f64> {
        let is_known = request.size_kb > 0.0 && self.stream_kb_per_s > 0.0;
        is_known.then(|| request.size_kb / self.stream_kb_per_s * SECOND as f64)
    }

    /// The mean of a class.
    pub(crate) fn mean(&self, class: usize) -> f64 {
        self.mean_by_class[class]
    }

    /// The mean of the class with the longest.
    pub(crate) fn largest_mean(&self) -> f64 {
        self.mean_by_class.iter().copied().fold(0.0, f64::max)
    }

    pub(crate) fn record(&mut self, class: usize, transfer_time: f64) {
        let mean = &mut self.mean_by_class[class];
        *mean += MEAN_GAIN * (transfer_time - *mean);
    }
}

/// Numbers of requests by class; parts of requests where they are means.
///
/// What is kept for longer than a moment is kept so, not in transfer time: the mean of a class may move by orders of
/// magnitude while it follows its first requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCounts {
    by_class: Vec<f64>,
}

impl RequestCounts {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_class.iter().all(|&count| count == 0.0)
    }

    /// How many there are of all classes.
    pub(crate) fn total(&self) -> f64 {
        self.by_class.iter().sum()
    }

    /// Counts one request.
    pub(crate) fn record(&mut self, class: usize) {
        self.extend_to(class + 1);
        self.by_class[class] += 1.0;
    }

    /// Counts a part of all that another one has.
    pub(crate) fn add_part(&mut self, other: &RequestCounts, part: f64) {
        self.extend_to(other.by_class.len());
        for (count, added) in self.by_class.iter_mut().zip(&other.by_class) {
            *count += part * added;
        }
    }

    /// Moves towards another one by this part of the difference.
    pub(crate) fn follow(&mut self, target: &RequestCounts, gain: f64) {
        self.by_class.iter_mut().for_each(|count| *count *= 1.0 - gain);
        self.add_part(target, gain);
    }

    pub(crate) fn clear(&mut self) {
        self.by_class.fill(0.0);
    }

    /// What they take in all, in nanoseconds, by the means of the classes as they are now.
    pub(crate) fn transfer_time(&self, transfer_times: &TransferTimes) -> f64 {
        self.by_class.iter().zip(&transfer_times.mean_by_class).map(|(count, mean)| count * mean).sum()
    }

    fn extend_to(&mut self, classes: usize) {
        if self.by_class.len() < classes {
            self.by_class.resize(classes, 0.0);
        }
    }
}
