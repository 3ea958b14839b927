//! The controller that rolls changes of the hierarchy out, as a role that one member of the fleet holds at a time.
//!
//! Its log is in the role's register, which a majority of the voters stores. A version is sent only after the record of
//! it is stored, and a new holder continues from the records that it reads. An earlier holder that wakes up late can't
//! write to the register, and voters that know of the new one don't pass its versions on. What it sent before was
//! stored, so the new holder sends the same.
//!
//! - `controller`: the state machine;
//! - `membership`: who takes part in a rollout, and for how long a missing member is waited for;
//! - `register_log`: the bytes of the register and of the messages to members.
//!
//! There is no I/O here: the caller carries out each [`ControllerAction`] and passes on what it learns.

mod controller;
mod membership;
mod register_log;

pub use controller::{ControllerAction, HierarchyController, ProposalError};
pub use register_log::{DecodeError, decode_spec};
