//! One director on real sockets: it answers the requests of clients by forwarding them to cache nodes, parents and the
//! origin, as the router of the root package decides.
//!
//! In `wire`, three threads own sockets: the client thread, the node thread, and the discovery thread, which follows
//! the event stream. With the feature `coordination`, the thread of that module owns further connections to directors
//! and nodes. All these threads send `events` to the dispatcher. The dispatcher, in `dispatch`, owns the router and all
//! requests in flight, and answers with responses and commands. `process` reads the configuration, starts the threads
//! and handles signals.
//! `coordination` and `coordination_settings` are only compiled with the feature `coordination`, `parent_hierarchy` only
//! with the feature `hierarchy`; without them, modules with the same interface and no effect take their place. The other
//! modules are types without sockets and threads, which the modules above share.

pub mod clock;
#[cfg_attr(not(feature = "coordination"), path = "coordination_off.rs")]
pub mod coordination;
#[cfg_attr(not(feature = "coordination"), path = "coordination_settings_off.rs")]
pub mod coordination_settings;
pub mod counters;
pub mod discovery_event;
mod dispatch;
pub mod event_queues;
pub mod events;
pub mod limits;
mod log_rate_limiter;
pub mod memory_budget;
pub mod name_table;
pub mod node_registry;
mod os_error;
#[cfg_attr(not(feature = "hierarchy"), path = "parent_hierarchy_off.rs")]
pub mod parent_hierarchy;
pub mod process;
pub mod shared;
mod source_clock;
mod stall_detector;
pub mod wire;
