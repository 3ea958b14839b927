//! Predicts how long it takes to send an answer: by its size if that is known, and by earlier answers otherwise.

use crate::types::{MILLISECOND, Ns, Request, SECOND, Settings};

/// The approximate time that an attempt takes in addition to its transfer.
pub(crate) const BASE_LATENCY: Ns = 40 * MILLISECOND;
/// The weight of one request in the mean of its class, which therefore covers about fifty requests.
const MEAN_GAIN: f64 = 0.02;
/// Before any measurement, the mean of a class is its latency objective divided by this, because answers should be
/// well within the objective.
const INITIAL_MEAN_DIVISOR: f64 = 2.0;

/// The transfer times of all request classes, in nanoseconds.
#[derive(Clone, Debug)]
pub(crate) struct TransferTimes {
    stream_kb_per_s: f64,
    mean_by_class: Vec<f64>,
}

impl TransferTimes {
    pub(crate) fn new(settings: &Settings) -> Self {
        let initial = settings.request_classes.iter();
        let mean_by_class =
            initial.map(|class| class.latency_objective as f64 / INITIAL_MEAN_DIVISOR).collect();
        TransferTimes { stream_kb_per_s: settings.stream_kb_per_s, mean_by_class }
    }

    /// The transfer time of a request by its size, if that is known.
    pub(crate) fn by_size(&self, request: &Request) -> Option<f64> {
        let is_known = request.size_kb > 0.0 && self.stream_kb_per_s > 0.0;
        is_known.then(|| request.size_kb / self.stream_kb_per_s * SECOND as f64)
    }

    /// The mean transfer time of a class.
    pub(crate) fn mean(&self, class: usize) -> f64 {
        self.mean_by_class[class]
    }

    pub(crate) fn record(&mut self, class: usize, transfer_time: f64) {
        let mean = &mut self.mean_by_class[class];
        *mean += MEAN_GAIN * (transfer_time - *mean);
    }
}
