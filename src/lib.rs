//! Decides from which nodes the objects of a content delivery network are served, cached and filled.

mod burst;
mod cache_policy;
mod class_counts;
mod deadline_margin;
mod effects;
mod endpoint;
mod fill_price;
mod hash_ring;
pub mod invariants;
mod load_shedding;
mod mode_change;
mod object_table;
mod origin_limit;
mod outlier_ejection;
mod priority;
mod retry_budget;
mod router;
mod slow_start;
mod transfer_time;
mod types;

pub use hash_ring::{
    HashRing, RingMember, VIRTUAL_NODES, cache_position, parent_position, rank, split_mix64,
};
pub use router::Router;
pub use types::*;
