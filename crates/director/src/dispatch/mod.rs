//! The dispatcher thread: it owns the router, the requests in flight, the timers and the pool of node connections, and
//! handles one event after the other. It never uses a socket.

mod action_executor;
mod discovery;
mod dispatcher;
mod event_handlers;
mod executed_ids;
mod inflight_requests;
mod timers;

pub(crate) use dispatcher::{DispatchError, Dispatcher};
