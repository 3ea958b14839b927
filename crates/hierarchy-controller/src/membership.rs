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

/// What changed for a rollout when the list of members was updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MembershipChange {
    /// A member takes part that did not before; it applies no version yet.
    Joined(u32),
    /// A member was restarted: what it applied before is gone.
    Restarted(u32),
    /// A member was missing for so long that it is considered gone for good.
    Gone(u32),
}

/// The members of the fleet by number. One that is missing may be cut off and go on by the version that it has, so it
/// counts until it is back, is restarted, or was missing for too long.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    members: BTreeMap<u32, KnownMember>,
    gone_after: Ns,
}

impl Membership {
    /// No members yet. One that is missing for `gone_after` nanoseconds is considered gone.
    pub(crate) fn new(gone_after: Ns) -> Membership {
        Membership { members: BTreeMap::new(), gone_after }
    }

    /// Updates the members by the list of those that are alive. Changes are in the order in which they apply.
    pub(crate) fn update(&mut self, now: Ns, alive: &[Member]) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        for member in alive {
            let known = KnownMember { incarnation: member.incarnation, missing_since: None };
            match self.members.insert(member.number, known) {
                None => changes.push(MembershipChange::Joined(member.number)),
                Some(before) if before.incarnation != member.incarnation => {
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
            let since = *known.missing_since.get_or_insert(now);
            if now >= since + self.gone_after {
                gone.push(*number);
            }
        }
        gone.iter().for_each(|number| {
            self.members.remove(number);
        });
        gone
    }

    /// Whether a message is of this member as it is known, and not of an earlier incarnation that was delayed.
    pub(crate) fn is_current(&self, member: Member) -> bool {
        self.members.get(&member.number).is_some_and(|known| known.incarnation == member.incarnation)
    }

    /// All members as participants of a rollout.
    pub(crate) fn participants(&self) -> Vec<Participant> {
        self.members.keys().map(|number| participant(*number)).collect()
    }

    /// When the next missing member is considered gone.
    pub(crate) fn next_deadline(&self) -> Option<Ns> {
        let missing = self.members.values().filter_map(|known| known.missing_since);
        missing.map(|since| since + self.gone_after).min()
    }
}

/// The name of a member in a rollout.
pub(crate) fn participant(number: u32) -> Participant {
    format!("member-{number}").into()
}
