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

pub mod admit;
pub mod change;
pub mod flow;
pub mod holder;
pub mod order;
pub mod plan;
pub mod spec;
pub mod version;
pub mod way;

pub use admit::{Admission, Refusal};
pub use change::{Act, Driver, Ending, Input, Record};
pub use holder::{Holder, Taken};
pub use plan::{NoPlan, Plan, Step, plan};
pub use version::{FULL, Hierarchy, Member, NodeId, Rules};
