//! The hierarchy of upper caches between the edge and the origin, and how it changes in service.
//!
//! - `version`: one version of it, persistent, so that who holds an old one pays for a pointer;
//! - `spec`: its form in settings files, events and logs;
//! - `order`: a topological order kept up edge by edge, which finds a cycle when it is closed;
//! - `flow`: what each node is asked for, and the most it can be while two versions are mixed;
//! - `admit`: whether a version may be aimed for at all;
//! - `plan`: the steps from one version to another;
//! - `change`: the driver of a change, step by step, with its log;
//! - `holder`: the side of a director or node that takes versions;
//! - `way`: the way of an object through a version.
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
pub use plan::{Plan, PlanError, PlanStep, plan};
pub use rollout::{Rollout, RolloutAction, RolloutInput, RolloutOutcome, RolloutRecord};
pub use version::{FULL_SHARE, Hierarchy, HierarchyNode, HierarchyRules, NodeId};
pub use version_holder::{OfferOutcome, VersionHolder};
