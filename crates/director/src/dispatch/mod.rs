//! The dispatcher thread: it owns the router, the requests in flight, the timers and the pools of node connections,
//! and handles one event after the other. It never touches a socket.

mod action_executor;
mod discovery;
mod dispatcher;
mod event_handlers;
mod inflight_requests;
mod timers;

pub(crate) use dispatcher::{DispatchError, Dispatcher};
