//! Ten thousand members without sockets: what a voter and a member do then, in counts.

use std::collections::BTreeSet;

use sablecross_duty::word::{Answer, DEALING, Roster, Stamp, State, Word};
use sablecross_duty::{Do, Member, Ns, Office, Shares, Station, Terms};

const SEC: Ns = 1_000_000_000;

fn terms() -> Terms {
    Terms {
        voters: vec![0, 1, 2, 3, 4],
        duties: vec![DEALING],
        lease: SEC,
        round: SEC / 5,
        apart: SEC / 20,
        beat: SEC,
        probe: SEC,
        patience: SEC / 2,
    }
}

fn member(number: u32) -> Member {
    Member { number, life: 1 }
}

#[test]
fn a_voter_hears_ten_thousand_members_and_tells_each_only_what_changed() {
    let mut station = Station::begin(0, &terms(), 0);
    let now = 2 * SEC;
    let all: Vec<Member> = (0..10_000).map(member).collect();
    for m in &all {
        assert!(station.hear(now, *m, &[Word::Here(Stamp::default())]).is_empty());
    }
    assert_eq!(station.living(now).len(), 10_000);
    let deal = |number, members: &[Member]| {
        let stamp = Stamp { term: 1, number };
        Word::Deal(Roster { stamp, dealer: member(0), members: members.to_vec() })
    };
    let first = Stamp { term: 1, number: 1 };
    assert_eq!(station.hear(now, member(0), &[deal(1, &all)]), [Answer::Keeps(first)]);
    let most = all.iter().filter(|m| m.number != 77).copied().collect::<Vec<_>>();
    station.hear(now, member(0), &[deal(2, &most)]);
    // One that has the deal before hears of one member; one that has none hears all.
    let said = station.hear(now, member(5), &[Word::Here(first)]);
    assert!(matches!(&said[..], [Answer::Moved { joined, left, .. }, Answer::Holds(_)]
        if joined.is_empty() && left[..] == [member(77)]));
    let said = station.hear(now, member(6), &[Word::Here(Stamp::default())]);
    assert!(matches!(&said[..], [Answer::Dealt(r), Answer::Holds(_)] if r.members.len() == 9_999));
}

#[test]
fn of_ten_thousand_members_a_few_probe_and_one_loss_moves_only_its_own() {
    let members: Vec<(Member, f64)> = (0..10_000).map(|n| (member(n), 1.0)).collect();
    let shares = Shares::of(members.iter().copied());
    let owners: Vec<Option<Member>> = (0..200u64).map(|c| shares.owner(c)).collect();
    let lost = owners[0].expect("somebody's");
    let less = Shares::of(members.iter().copied().filter(|(m, _)| *m != lost));
    for (chore, before) in owners.iter().enumerate() {
        let now = less.owner(chore as u64);
        assert_eq!(now == *before, *before != Some(lost), "chore {chore}");
    }
    let holders: BTreeSet<u32> = owners.iter().flatten().map(|m| m.number).collect();
    assert!(holders.len() > 180, "{}", holders.len());
}

#[test]
fn a_member_with_nothing_to_do_says_one_word_a_beat_to_each_voter() {
    let mut office = Office::new(member(4_321), terms(), 9, 0);
    office.listed(0, &(0..200).collect());
    let (mut calls, mut now) = (0, 0);
    while now < 60 * SEC {
        now = office.next().max(now + 1);
        office.step(now);
        for act in office.acts() {
            if let Do::Call { words, .. } = act {
                calls += 1;
                assert!(words.len() <= 3, "{words:?}");
            }
        }
    }
    assert!((295..=310).contains(&calls), "{calls} in 60 beats to 5 voters");
    office.probed(now, 3, Stamp::default().token(member(1)), Ok(State::Ailing));
    assert!(office.acts().is_empty(), "a probe that was never made finds nothing");
}
