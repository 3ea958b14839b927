//! One director on real sockets: it answers the requests of clients by forwarding them to cache nodes, parents and the
//! origin, as the router of the root package decides.
//!
//! Three threads hold sockets, in `wire`: one for clients, one for nodes, one for the event stream of discovery. They
//! send `events` to the dispatcher; the dispatcher, in `dispatch`, owns the router and all requests
//! in flight, and answers with responses and commands. `process` reads the configuration, starts the threads and
//! handles signals. `coordination` and `parent_hierarchy` are compiled with the features of their names; the other
//! modules are values without sockets and threads that these share.

pub mod clock;
#[cfg_attr(not(feature = "coordination"), path = "coordination_off.rs")]
pub mod coordination;
#[cfg_attr(not(feature = "coordination"), path = "coordination_settings_off.rs")]
pub mod coordination_settings;
pub mod counters;
pub mod discovery_event;
mod dispatch;
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
