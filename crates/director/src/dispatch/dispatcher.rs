//! The dispatcher: its state, its event loop and the phases of a shutdown.

use std::sync::Arc;

use crossbeam_channel::{RecvTimeoutError, Sender};
use sablecross::{Ns, Outcome, Router};
use sablecross_inflight::{AttemptResult, InflightTable};
use thiserror::Error;

use super::action_executor::{ActionExecutor, LocalResult};
use super::timers::Timer;
use crate::coordination::CoordinationHandle;
use crate::counters;
use crate::event_queues::EventQueues;
use crate::events::{Event, RequestKey};
use crate::parent_hierarchy::{AppliedVersion, ParentHierarchy};
use crate::shared::SharedContext;
use crate::wire::node_pool::NodePool;
use crate::wire::response_sender::ResponseSender;

/// Why the dispatcher stopped before a shutdown was complete.
#[derive(Debug, Error)]
pub(crate) enum DispatchError {
    /// An essential thread, without which the director can't serve, has ended.
    #[error("thread {0} ended")]
    ThreadEnded(&'static str),
    /// All threads that send events to the dispatcher have ended.
    #[error("no thread is left that sends events")]
    NoEventSource,
}

/// The phases of the director, from serving to the end of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// No shutdown has been requested.
    Serving,
    /// The stop signal was received at this time. Requests are still accepted for the duration of
    /// `Limits::shutdown_delay`.
    ShutdownRequested { at: Ns },
    /// New requests are rejected, and the client thread closes its connections as they become idle.
    Draining,
    /// All client connections have ended.
    ClientsFinished,
}

/// Owns the router and all requests in flight, and handles one event at a time.
pub(crate) struct Dispatcher {
    pub(super) table: InflightTable,
    pub(super) executor: ActionExecutor,
    pub(super) hierarchy: ParentHierarchy,
    pub(super) coordination: CoordinationHandle,
    /// The queue to the discovery client, which reports the active hierarchy version to discovery.
    pub(super) applied_versions: Sender<AppliedVersion>,
    pub(super) phase: Phase,
    /// Whether discovery has listed any endpoint so far.
    pub(super) has_endpoints: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without requests or endpoints.
    pub(crate) fn new(
        router: Router,
        nodes: NodePool,
        responses: ResponseSender,
        shared: Arc<SharedContext>,
        hierarchy: ParentHierarchy,
        coordination: CoordinationHandle,
        applied_versions: Sender<AppliedVersion>,
    ) -> Dispatcher {
        Dispatcher {
            executor: ActionExecutor::new(shared, nodes, responses, router.effects()),
            table: InflightTable::new(router),
            hierarchy,
            coordination,
            applied_versions,
            phase: Phase::Serving,
            has_endpoints: false,
        }
    }

    /// Handles events until a shutdown is complete. Returns an error if an essential thread ends before that.
    pub(crate) fn run(&mut self, events: &mut EventQueues) -> Result<(), DispatchError> {
        loop {
            self.executor.update_time();
            self.take_wakeup_delay();
            self.run_due_timers();
            self.executor.flush_responses();
            self.advance_shutdown();
            // Every client has received its responses or has disconnected, and no attempt is outstanding any more.
            if self.phase == Phase::ClientsFinished && self.executor.requests.is_empty() {
                return Ok(());
            }
            match self.next_event(events) {
                Ok(event) => {
                    self.executor.update_time();
                    self.handle_event(event)?;
                    self.process_local_results();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Err(DispatchError::NoEventSource),
            }
        }
    }

    /// Reports the longest wakeup delay since the last iteration to the router: the delay of the dispatcher's next
    /// timer or of another thread's wakeup.
    fn take_wakeup_delay(&mut self) {
        let own_delay =
            self.executor.timers.next_deadline().map_or(0, |due| self.executor.now.saturating_sub(due));
        let delay = own_delay.max(self.executor.shared.take_wakeup_delay());
        self.table.router.record_wakeup_delay(self.executor.now, delay);
    }

    /// Waits for the next event, at most until work is due without one.
    fn next_event(&self, events: &mut EventQueues) -> Result<Event, RecvTimeoutError> {
        events.next(self.next_wakeup().map(|at| self.executor.shared.clock.until(at)))
    }

    fn next_wakeup(&self) -> Option<Ns> {
        let timer = self.executor.timers.next_deadline();
        let must_poll =
            matches!(self.phase, Phase::ShutdownRequested { .. }) || self.executor.has_unsent_responses();
        let poll = must_poll.then(|| self.executor.now + self.executor.shared.limits.shutdown_poll_interval);
        [timer, poll].into_iter().flatten().min()
    }

    /// Stops accepting requests once `shutdown_delay` has passed since the stop signal. Requests in flight continue.
    fn advance_shutdown(&mut self) {
        let delay = self.executor.shared.limits.shutdown_delay;
        if let Phase::ShutdownRequested { at } = self.phase
            && self.executor.now >= at + delay
        {
            self.phase = Phase::Draining;
            self.executor.begin_client_shutdown();
        }
    }

    fn run_due_timers(&mut self) {
        while let Some(timer) = self.executor.timers.pop_due(self.executor.now) {
            match timer {
                Timer::AttemptTimeout { key, attempt } => {
                    self.executor.abandon_attempt(key, attempt, Outcome::TimedOut);
                }
                Timer::Check { key, generation } => {
                    self.cancel_if_client_gone(key);
                    self.table.check(key, generation, self.executor.now, &mut self.executor);
                }
            }
            self.process_local_results();
        }
    }

    /// Passes the results of attempts that ended without an answer to the router, and writes the router's log lines.
    fn process_local_results(&mut self) {
        while let Some(LocalResult { key, attempt, result }) = self.executor.local_results.pop_front() {
            self.process_result(key, attempt, result);
        }
        for line in self.table.router.take_log_lines() {
            tracing::info!("{line}");
        }
    }

    pub(super) fn process_result(&mut self, key: RequestKey, attempt: usize, result: AttemptResult) {
        self.executor.counters.record_outcome(result.outcome);
        if let Some(request) = self.executor.requests.get(key) {
            tracing::debug!("request {} attempt {attempt} ended {:?}", request.id_text(), result.outcome);
        }
        self.cancel_if_client_gone(key);
        self.table.on_attempt_result(key, attempt, result, self.executor.now, &mut self.executor);
    }

    /// Cancels a request whose client has cancelled it or disconnected, even if the event that reports this is still
    /// queued.
    fn cancel_if_client_gone(&mut self, key: RequestKey) {
        let request = self.executor.requests.get(key);
        if request.is_some_and(|request| request.incoming.cancellation.is_cancelled()) {
            self.cancel_request(key);
        }
    }

    /// Cancels a request that its client no longer waits for: no answer is sent, and its attempts are cancelled.
    pub(super) fn cancel_request(&mut self, key: RequestKey) {
        let Some(request) = self.executor.requests.get_mut(key).filter(|request| !request.is_answered) else {
            return;
        };
        request.is_answered = true;
        let attempts = request.attempt_count();
        self.executor.counters.cancelled += 1;
        self.table.abandon(key, &mut self.executor);
        for attempt in 0..attempts {
            self.executor.abandon_attempt(key, attempt, Outcome::Cancelled);
        }
    }

    /// Logs the current values of all counters.
    pub(crate) fn log_counters(&mut self) {
        let ActionExecutor { counters, requests, nodes, shared, .. } = &mut self.executor;
        counters.in_flight = requests.unanswered_count() as u64;
        counters.connections_opened = nodes.opened_connections();
        counters.connections_open = nodes.open_connections() as u64;
        counters.remembered_objects = self.table.router.remembered_objects() as u64;
        tracing::info!("counters {} {}{}", counters, shared.counters, counters::process_usage());
    }
}
