//! The members that take part in a rollout.

use std::collections::BTreeMap;

use sablecross_coordination::{Member, Ns};
use sablecross_hierarchy::rollout::Participant;

/// What is known of a member.
#[derive(Clone, Copy, Debug)]
struct KnownMember {
    incarnation: u64,
    missing_since: Option<Ns>,
}

/// A change of the members that matters to a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    /// A new member takes part. It applies no version yet.
    Joined(u32),
    /// A member was restarted. It no longer applies the version from before.
    Restarted(u32),
    /// A member was missing for too long and is considered permanently gone.
    Gone(u32),
}

/// The members of the fleet by number. A missing member may only be disconnected and may still apply its version, so
/// it remains a participant until it has been missing for `gone_after`.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    members: BTreeMap<u32, KnownMember>,
    gone_after: Ns,
}

impl Membership {
    /// Creates an empty membership. A member that is missing for `gone_after` nanoseconds is considered gone.
    pub(crate) fn new(gone_after: Ns) -> Membership {
        Membership { members: BTreeMap::new(), gone_after }
    }

    /// Updates the members from the list of those that are alive. Returns the changes in the order in which they have
    /// to be applied.
    pub(crate) fn update(&mut self, now: Ns, alive: &[Member]) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        for member in alive {
            let known = KnownMember { incarnation: member.incarnation, missing_since: None };
            match self.members.insert(member.number, known) {
                None => changes.push(MembershipChange::Joined(member.number)),
                Some(previous) if previous.incarnation != member.incarnation => {
                    changes.push(MembershipChange::Restarted(member.number));
                }
                Some(_) => {}
            }
        }
        changes.extend(self.remove_gone(now, alive).into_iter().map(MembershipChange::Gone));
        changes
    }

    fn remove_gone(&mut self, now: Ns, alive: &[Member]) -> Vec<u32> {
        let mut gone = Vec::new();
        for (number, known) in &mut self.members {
            if alive.iter().any(|member| member.number == *number) {
                continue;
            }
            let missing_since = *known.missing_since.get_or_insert(now);
            if now >= missing_since + self.gone_after {
                gone.push(*number);
            }
        }
        gone.iter().for_each(|number| {
            self.members.remove(number);
        });
        gone
    }

    /// Whether a message is from the current incarnation of the member, and not a delayed one from an earlier
    /// incarnation.
    pub(crate) fn is_current(&self, member: Member) -> bool {
        self.members.get(&member.number).is_some_and(|known| known.incarnation == member.incarnation)
    }

    /// Returns all members as participants of a rollout.
    pub(crate) fn participants(&self) -> Vec<Participant> {
        self.members.keys().map(|number| participant(*number)).collect()
    }

    /// Returns when the next missing member is considered gone.
    pub(crate) fn next_deadline(&self) -> Option<Ns> {
        let missing = self.members.values().filter_map(|known| known.missing_since);
        missing.map(|missing_since| missing_since + self.gone_after).min()
    }
}

/// Returns the name of a member as a participant of a rollout.
pub(crate) fn participant(number: u32) -> Participant {
    format!("member-{number}").into()
}
