//! What a coordinator has its caller do.

use crate::messages::{HealthObservation, Message, RegisterValue, RoleId};
use crate::{FencingToken, LeaseEnd};

/// What the caller of a [`Coordinator`](crate::Coordinator) has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send messages to a voter in one call.
    /// [`Coordinator::on_replies`](crate::Coordinator::on_replies) takes what comes back, if anything does.
    Call {
        /// The voter's index in the order of the configuration.
        voter: u32,
        /// Identifies the call in `on_replies`.
        call_id: u64,
        /// The messages.
        messages: Vec<Message>,
    },
    /// Check the health of a target.
    /// [`Coordinator::on_check_result`](crate::Coordinator::on_check_result) takes the result.
    CheckHealth {
        /// The target.
        target: u64,
        /// Accompanies the check; the target rejects older ones.
        token: FencingToken,
    },
    /// A role's holder has published a newer version to all members.
    Published {
        /// The role.
        role: RoleId,
        /// The published version.
        bytes: Vec<u8>,
    },
    /// Targets were observed, by this member or by others.
    HealthObservations(Vec<HealthObservation>),
    /// From here on calls name voters by their index in this order.
    VotersChanged(Vec<u32>),
    /// This member holds the role from here on.
    RoleAcquired {
        /// The role.
        role: RoleId,
        /// Accompanies each effect.
        token: FencingToken,
    },
    /// This member does not hold the role any more.
    RoleLost {
        /// The role.
        role: RoleId,
        /// The term of its lease.
        term: u64,
        /// Why the lease ended.
        reason: LeaseEnd,
    },
    /// A majority of the voters holds this value of the register of an own role.
    RegisterStored {
        /// The role.
        role: RoleId,
        /// The value.
        value: RegisterValue,
    },
    /// An operator's proposal for an own role.
    Proposal {
        /// The role.
        role: RoleId,
        /// The proposal.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
