//! The retry budget: attempts beyond a request's first are paid for by successes, so that retries and hedges cannot
//! multiply the load of a fleet that fails.

/// What one success earns: one further attempt for ten successes, a tenth more load at most.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// The most that is saved up, for failures that come in a rush.
const MAX_TOKENS: f64 = 3.0;
/// What one further attempt costs, the unit of all tokens.
const ATTEMPT_COST: f64 = 1.0;

/// The tokens of one director.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Half of the most, so that a director that starts amid trouble can retry a little.
    pub(crate) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS / 2.0 }
    }

    /// Whether no further attempt can be paid for.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.tokens < ATTEMPT_COST
    }

    /// Pays for a further attempt.
    pub(crate) fn spend(&mut self) {
        self.tokens -= ATTEMPT_COST;
    }

    /// Earns a part of a further attempt.
    pub(crate) fn on_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }
}
