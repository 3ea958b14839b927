//! A voter's replica of the assignment of targets to members.

use crate::messages::{Assignment, AssignmentVersion, Reply};
use crate::{FencingGuard, FencingToken, Member, Ns, StaleToken};

/// The newest assignment, with the change from the one before.
#[derive(Clone, Debug)]
pub(crate) struct AssignmentReplica {
    current: Assignment,
    last_change: Option<Change>,
    guard: FencingGuard,
    /// How long a message of the assigner confirms the assignment to members.
    validity: Ns,
    confirmed_until: Ns,
}

#[derive(Clone, Debug)]
struct Change {
    since: AssignmentVersion,
    joined: Vec<Member>,
    left: Vec<Member>,
}

impl Change {
    fn between(old: &Assignment, new: &Assignment) -> Change {
        let members_missing_from = |base: &[Member], members: &[Member]| {
            members.iter().copied().filter(|member| base.binary_search(member).is_err()).collect()
        };
        Change {
            since: old.version,
            joined: members_missing_from(&old.members, &new.members),
            left: members_missing_from(&new.members, &old.members),
        }
    }
}

impl AssignmentReplica {
    pub(crate) fn new(validity: Ns) -> AssignmentReplica {
        AssignmentReplica {
            current: Assignment::default(),
            last_change: None,
            guard: FencingGuard::default(),
            validity,
            confirmed_until: 0,
        }
    }

    pub(crate) fn current(&self) -> &Assignment {
        &self.current
    }

    pub(crate) fn rejected_count(&self) -> u64 {
        self.guard.rejected_count()
    }

    /// Stores the assignment if it is newer. If it is the current one, it only confirms that the assigner is alive.
    /// Returns the version that is stored afterwards.
    pub(crate) fn store(
        &mut self,
        now: Ns,
        assignment: &Assignment,
    ) -> Result<AssignmentVersion, StaleToken> {
        let token = FencingToken { term: assignment.version.term, holder: assignment.assigner };
        self.guard.admit(token)?;
        if assignment.version > self.current.version {
            self.last_change = Some(Change::between(&self.current, assignment));
            self.current = assignment.clone();
        }
        Ok(self.confirm_current(now, assignment.version))
    }

    /// The assigner is alive, and `version` is its current assignment. Returns the version that is stored.
    pub(crate) fn confirm(
        &mut self,
        now: Ns,
        token: FencingToken,
        version: AssignmentVersion,
    ) -> Result<AssignmentVersion, StaleToken> {
        self.guard.admit(token)?;
        Ok(self.confirm_current(now, version))
    }

    fn confirm_current(&mut self, now: Ns, version: AssignmentVersion) -> AssignmentVersion {
        if version == self.current.version {
            self.confirmed_until = now + self.validity;
        }
        self.current.version
    }

    /// Adopts a newer assignment that this member knows when it becomes the assigner.
    pub(crate) fn adopt(&mut self, assignment: &Assignment) {
        if assignment.version > self.current.version {
            self.current = assignment.clone();
            self.last_change = None;
        }
    }

    /// The replies to the heartbeat of a member whose assignment has this version.
    pub(crate) fn replies_to_heartbeat(&self, now: Ns, version: AssignmentVersion) -> Vec<Reply> {
        let mut replies = Vec::new();
        if version < self.current.version {
            replies.push(self.update_from(version));
        }
        if now < self.confirmed_until {
            replies.push(Reply::AssignmentConfirmed(self.current.version));
        }
        replies
    }

    /// Returns only the change if the member has the version before it, and the complete assignment otherwise.
    fn update_from(&self, version: AssignmentVersion) -> Reply {
        match &self.last_change {
            Some(change) if change.since == version => Reply::AssignmentChanged {
                since: change.since,
                version: self.current.version,
                assigner: self.current.assigner,
                joined: change.joined.clone(),
                left: change.left.clone(),
            },
            _ => Reply::Assigned(self.current.clone()),
        }
    }
}
