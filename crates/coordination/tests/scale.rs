//! Ten thousand members without sockets: what a voter and a member do then, in counts.

use std::collections::BTreeSet;

use sablecross_coordination::messages::{
    ASSIGNMENT_ROLE, Assignment, AssignmentVersion, HealthState, Message, Reply,
};
use sablecross_coordination::{
    Action, CoordinationConfig, Coordinator, Member, Ns, RendezvousShares, VoterNode,
};

const SEC: Ns = 1_000_000_000;

fn terms() -> CoordinationConfig {
    CoordinationConfig {
        voters: vec![0, 1, 2, 3, 4],
        roles: vec![ASSIGNMENT_ROLE],
        lease_duration: SEC,
        round_timeout: SEC / 5,
        claim_spacing: SEC / 20,
        heartbeat_interval: SEC,
        check_interval: SEC,
        check_timeout: SEC / 2,
    }
}

fn member(number: u32) -> Member {
    Member { number, incarnation: 1 }
}

#[test]
fn a_voter_hears_ten_thousand_members_and_tells_each_only_what_changed() {
    let mut station = VoterNode::new(0, &terms(), 0);
    let now = 2 * SEC;
    let all: Vec<Member> = (0..10_000).map(member).collect();
    for m in &all {
        assert!(station.on_messages(now, *m, &[Message::Heartbeat(AssignmentVersion::default())]).is_empty());
    }
    assert_eq!(station.alive_members(now).len(), 10_000);
    let deal = |number, members: &[Member]| {
        let stamp = AssignmentVersion { term: 1, number };
        Message::Assign(Assignment { version: stamp, assigner: member(0), members: members.to_vec() })
    };
    let first = AssignmentVersion { term: 1, number: 1 };
    assert_eq!(station.on_messages(now, member(0), &[deal(1, &all)]), [Reply::AssignmentStored(first)]);
    let most = all.iter().filter(|m| m.number != 77).copied().collect::<Vec<_>>();
    station.on_messages(now, member(0), &[deal(2, &most)]);
    // One that has the deal before hears of one member; one that has none hears all.
    let said = station.on_messages(now, member(5), &[Message::Heartbeat(first)]);
    assert!(
        matches!(&said[..], [Reply::AssignmentChanged { joined, left, .. }, Reply::AssignmentConfirmed(_)]
        if joined.is_empty() && left[..] == [member(77)])
    );
    let said = station.on_messages(now, member(6), &[Message::Heartbeat(AssignmentVersion::default())]);
    assert!(
        matches!(&said[..], [Reply::Assigned(r), Reply::AssignmentConfirmed(_)] if r.members.len() == 9_999)
    );
}

#[test]
fn of_ten_thousand_members_a_few_probe_and_one_loss_moves_only_its_own() {
    let members: Vec<(Member, f64)> = (0..10_000).map(|n| (member(n), 1.0)).collect();
    let shares = RendezvousShares::from_weights(members.iter().copied());
    let owners: Vec<Option<Member>> = (0..200u64).map(|c| shares.owner(c)).collect();
    let lost = owners[0].expect("somebody's");
    let less = RendezvousShares::from_weights(members.iter().copied().filter(|(m, _)| *m != lost));
    for (chore, before) in owners.iter().enumerate() {
        let now = less.owner(chore as u64);
        assert_eq!(now == *before, *before != Some(lost), "chore {chore}");
    }
    let holders: BTreeSet<u32> = owners.iter().flatten().map(|m| m.number).collect();
    assert!(holders.len() > 180, "{}", holders.len());
}

#[test]
fn a_member_with_nothing_to_do_says_one_word_a_beat_to_each_voter() {
    let mut office = Coordinator::new(member(4_321), terms(), 9, 0);
    office.update_targets(0, &(0..200).collect());
    let (mut calls, mut now) = (0, 0);
    while now < 60 * SEC {
        now = office.next_wakeup().max(now + 1);
        office.step(now);
        for act in office.take_actions() {
            if let Action::Call { messages: words, .. } = act {
                calls += 1;
                assert!(words.len() <= 3, "{words:?}");
            }
        }
    }
    assert!((295..=310).contains(&calls), "{calls} in 60 beats to 5 voters");
    office.on_check_result(now, 3, AssignmentVersion::default().token(member(1)), Ok(HealthState::Unhealthy));
    assert!(office.take_actions().is_empty(), "a probe that was never made finds nothing");
}
