//! The hierarchy of parent caches between the edge and the origin, and how it changes in service.
//!
//! - [`version`]: one version of the hierarchy, and what differs between two;
//! - [`spec`]: its written form in settings files, events, messages and logs;
//! - [`topological_order`]: orders that find loops, incrementally and in full;
//! - [`admission`]: whether a version may be the target of a change at all;
//! - [`load_flow`]: the load of each node, and the most it can be while two versions are in use;
//! - [`plan`](mod@plan): the steps from one version to another;
//! - [`rollout`]: the state machine that rolls a change out, with its log;
//! - [`version_holder`]: what a participant keeps of the versions that it is sent;
//! - [`fill_path`]: the path of an object's fill through a version.
//!
//! Nothing here reads a clock, a file or a socket.

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
