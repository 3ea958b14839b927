//! The work of a voter and of a member in a fleet of ten thousand, as counts of messages; no sockets.

use std::collections::BTreeSet;

use sablecross_coordination::messages::{
    ASSIGNMENT_ROLE, Assignment, AssignmentVersion, HealthState, Message, Reply,
};
use sablecross_coordination::{
    Action, CoordinationConfig, Coordinator, Member, Ns, RendezvousShares, VoterNode,
};

const SEC: Ns = 1_000_000_000;

fn config() -> CoordinationConfig {
    CoordinationConfig {
        voters: vec![0, 1, 2, 3, 4],
        roles: vec![ASSIGNMENT_ROLE],
        lease_duration: SEC,
        round_timeout: SEC / 5,
        attempt_spacing: SEC / 20,
        heartbeat_interval: SEC,
        check_interval: SEC,
        check_timeout: SEC / 2,
    }
}

fn member(number: u32) -> Member {
    Member { number, incarnation: 1 }
}

#[test]
fn voter_sends_only_the_change_to_each_of_ten_thousand_members() {
    let mut node = VoterNode::new(0, &config(), 0);
    let now = 2 * SEC;
    let all: Vec<Member> = (0..10_000).map(member).collect();
    for m in &all {
        assert!(node.on_messages(now, *m, &[Message::Heartbeat(AssignmentVersion::default())]).is_empty());
    }
    assert_eq!(node.alive_members(now).len(), 10_000);
    let assign = |number, members: &[Member]| {
        let version = AssignmentVersion { term: 1, number };
        Message::Assign(Assignment { version, assigner: member(0), members: members.to_vec() })
    };
    let first = AssignmentVersion { term: 1, number: 1 };
    assert_eq!(node.on_messages(now, member(0), &[assign(1, &all)]), [Reply::AssignmentStored(first)]);
    let remaining_members = all.iter().filter(|m| m.number != 77).copied().collect::<Vec<_>>();
    node.on_messages(now, member(0), &[assign(2, &remaining_members)]);
    // A member with the previous assignment gets only the change, and a member without one gets the complete
    // assignment.
    let replies = node.on_messages(now, member(5), &[Message::Heartbeat(first)]);
    assert!(
        matches!(&replies[..], [Reply::AssignmentChanged { joined, left, .. }, Reply::AssignmentConfirmed(_)]
        if joined.is_empty() && left[..] == [member(77)])
    );
    let replies = node.on_messages(now, member(6), &[Message::Heartbeat(AssignmentVersion::default())]);
    assert!(
        matches!(&replies[..], [Reply::Assigned(r), Reply::AssignmentConfirmed(_)] if r.members.len() == 9_999)
    );
}

#[test]
fn losing_one_of_ten_thousand_members_moves_only_its_targets() {
    let members: Vec<(Member, f64)> = (0..10_000).map(|n| (member(n), 1.0)).collect();
    let shares = RendezvousShares::from_weights(members.iter().copied());
    let owners: Vec<Option<Member>> = (0..200u64).map(|c| shares.owner(c)).collect();
    let lost = owners[0].expect("an owner");
    let remaining_shares =
        RendezvousShares::from_weights(members.iter().copied().filter(|(m, _)| *m != lost));
    for (target, before) in owners.iter().enumerate() {
        let now = remaining_shares.owner(target as u64);
        assert_eq!(now == *before, *before != Some(lost), "target {target}");
    }
    let holders: BTreeSet<u32> = owners.iter().flatten().map(|m| m.number).collect();
    assert!(holders.len() > 180, "{}", holders.len());
}

#[test]
fn idle_member_makes_one_call_per_heartbeat_to_each_voter() {
    let mut coordinator = Coordinator::new(member(4_321), config(), 9, 0);
    coordinator.update_targets(0, &(0..200).collect());
    let (mut calls, mut now) = (0, 0);
    while now < 60 * SEC {
        now = coordinator.next_wakeup().max(now + 1);
        coordinator.step(now);
        for action in coordinator.take_actions() {
            if let Action::Call { messages, .. } = action {
                calls += 1;
                assert!(messages.len() <= 3, "{messages:?}");
            }
        }
    }
    assert!((295..=310).contains(&calls), "{calls} in 60 heartbeats to 5 voters");
    coordinator.on_check_result(
        now,
        3,
        AssignmentVersion::default().token(member(1)),
        Ok(HealthState::Unhealthy),
    );
    assert!(coordinator.take_actions().is_empty(), "the result of a check that was never sent is ignored");
}
