//! The controller that rolls out changes of the hierarchy, as a role that one member of the fleet holds at a time.
//!
//! The controller's log is the value of the role's register, which a majority of the voters stores. A version is sent
//! to members only after its record is stored, and a new holder continues from the records that it reads. A former
//! holder that was delayed can't write to the register any more, and voters that know the new holder don't pass on
//! the former holder's versions. Everything that the former holder sent was stored before, so the new holder sends
//! the same versions.
//!
//! - `controller`: the state machine;
//! - `membership`: which members take part in a rollout, and how long it waits for a missing member;
//! - `register_log`: the encoding of the register's content and of the messages to members.
//!
//! The crate does no I/O. The caller carries out each [`ControllerAction`] and passes in results and reports.

mod controller;
mod membership;
mod register_log;

pub use controller::{ControllerAction, HierarchyController, ProposalError};
pub use register_log::{DecodeError, decode_spec};
