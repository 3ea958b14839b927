//! The retry budget: successes pay for the attempts beyond a request's first one, so that retries and hedges cannot
//! multiply the load of a failing fleet.

/// The tokens that one success earns. Ten successes pay for one further attempt, which bounds the extra load to a
/// tenth.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// The maximum number of saved tokens, for failures that come in quick succession.
const MAX_TOKENS: f64 = 3.0;
/// The tokens that one further attempt costs.
const ATTEMPT_COST: f64 = 1.0;

/// The retry budget of one director.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a half-full budget, so that a director that starts during failures can retry a little.
    pub(crate) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS / 2.0 }
    }

    /// Whether the tokens do not pay for a further attempt.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.tokens < ATTEMPT_COST
    }

    /// Pays for a further attempt.
    pub(crate) fn spend(&mut self) {
        self.tokens -= ATTEMPT_COST;
    }

    /// Earns the tokens of one success.
    pub(crate) fn on_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }
}
