//! The real director: sockets round the decision module. `wire` speaks, `memory` keeps, `life` starts and
//! stops; `exchange`, `common`, `upper` and `plain` stand below all three.

pub mod clock;
#[cfg_attr(not(feature = "coordination"), path = "coordination_off.rs")]
pub mod coordination;
#[cfg_attr(not(feature = "coordination"), path = "coordination_settings_off.rs")]
pub mod coordination_settings;
pub mod counters;
pub mod discovery_event;
pub mod dispatch;
pub mod events;
pub mod limits;
pub mod log_rate_limiter;
pub mod memory_budget;
pub mod name_table;
pub mod node_registry;
pub mod os_error;
#[cfg_attr(not(feature = "hierarchy"), path = "parent_hierarchy_off.rs")]
pub mod parent_hierarchy;
pub mod process;
pub mod shared;
pub mod source_clock;
pub mod stall_detector;
pub mod wire;
