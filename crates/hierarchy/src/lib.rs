//! The hierarchy of parent caches between the edge and the origin, and how it changes in service.
//!
//! - [`version`]: one version of the hierarchy, and the difference between two versions;
//! - [`spec`]: the serialized form of a version in settings files, events, messages and logs;
//! - [`topological_order`]: topological orders that detect cycles, incremental and by a full sort;
//! - [`admission`]: the check whether a version may be the target of a change;
//! - [`load_flow`]: the load of each node, and its peak while two versions are in use;
//! - [`plan`](mod@plan): the steps from one version to another;
//! - [`rollout`]: the state machine that rolls out a change, and its write-ahead log;
//! - [`version_holder`]: the version that a participant applies;
//! - [`fill_path`]: the path of an object's fill through a version.
//!
//! The crate does no I/O and reads no clock: callers pass the time in.

pub mod admission;
pub mod fill_path;
pub mod load_flow;
pub mod plan;
pub mod rollout;
pub mod spec;
pub mod topological_order;
pub mod version;
pub mod version_holder;

pub use admission::{Admission, AdmissionError};
pub use plan::{Plan, PlanError, PlanStep, RequiredWarmth, plan};
pub use rollout::{
    ChangeProgress, NumberedVersion, Rollout, RolloutAction, RolloutInput, RolloutOutcome, RolloutRecord,
};
pub use version::{FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId};
pub use version_holder::{OfferOutcome, VersionHolder};
