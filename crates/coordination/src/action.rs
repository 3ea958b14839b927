//! The actions that a coordinator returns to its caller.

use crate::messages::{HealthObservation, Message, RegisterValue, RoleId};
use crate::{FencingToken, LeaseEnd};

/// An action that the caller of a [`Coordinator`](crate::Coordinator) has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send messages to a voter in one call. Pass the replies, if any arrive, to
    /// [`Coordinator::on_replies`](crate::Coordinator::on_replies).
    Call {
        /// The voter's index in the configured order.
        voter: u32,
        /// Identifies the call in `on_replies`.
        call_id: u64,
        /// The messages to send.
        messages: Vec<Message>,
    },
    /// Check the health of a target. Pass the result to
    /// [`Coordinator::on_check_result`](crate::Coordinator::on_check_result).
    CheckHealth {
        /// The target to check.
        target: u64,
        /// The token that accompanies the check. The target rejects older tokens.
        token: FencingToken,
    },
    /// The holder of a role has published a newer version to all members.
    Published {
        /// The role.
        role: RoleId,
        /// The published version.
        bytes: Vec<u8>,
    },
    /// Health observations by this member or by others.
    HealthObservations(Vec<HealthObservation>),
    /// The voters have changed. From now on, calls name voters by their index in this order.
    VotersChanged(Vec<u32>),
    /// This member has acquired the role.
    RoleAcquired {
        /// The role.
        role: RoleId,
        /// The token that accompanies each effect of the role.
        token: FencingToken,
    },
    /// This member no longer holds the role.
    RoleLost {
        /// The role.
        role: RoleId,
        /// The term of its lease.
        term: u64,
        /// Why the lease ended.
        reason: LeaseEnd,
    },
    /// A majority of the voters stores this value in the register of a role that this member holds.
    RegisterStored {
        /// The role.
        role: RoleId,
        /// The stored value.
        value: RegisterValue,
    },
    /// An operator's proposal for a role that this member holds.
    Proposal {
        /// The role.
        role: RoleId,
        /// The content of the proposal.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
