//! A voter's replica of the assignment.

use crate::messages::{Assignment, AssignmentVersion, Reply};
use crate::{FencingGuard, FencingToken, Member, Ns, StaleToken};

/// The newest assignment, with the change that led to it.
#[derive(Clone, Debug)]
pub(crate) struct AssignmentReplica {
    current: Assignment,
    last_change: Option<Change>,
    guard: FencingGuard,
    /// For how long a sign of life of the assigner confirms the assignment to members.
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
        let missing_in = |of: &[Member], all: &[Member]| {
            all.iter().copied().filter(|member| of.binary_search(member).is_err()).collect()
        };
        Change {
            since: old.version,
            joined: missing_in(&old.members, &new.members),
            left: missing_in(&new.members, &old.members),
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

    /// Stores an assignment that is newer. The current one again confirms only that its assigner is alive. Returns the version
    /// that is held then.
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

    /// The assigner is alive and goes by this version. Returns the version that is held.
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

    /// Takes over an assignment that the new assigner knows from elsewhere.
    pub(crate) fn adopt(&mut self, assignment: &Assignment) {
        if assignment.version > self.current.version {
            self.current = assignment.clone();
            self.last_change = None;
        }
    }

    /// What a member that goes by `version` has to know.
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

    /// The change alone, if the member has the version before it; else the complete assignment.
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
