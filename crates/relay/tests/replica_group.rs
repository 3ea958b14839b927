//! Scripts for the group of voters: each says which message arrives when.

mod help;

use help::*;
use sablecross_relay::*;

/// A call that has not arrived: from, to, its id, what it asks.
type PendingCall = (usize, usize, u64, PeerRequest);

struct Network {
    relays: Vec<Relay>,
    config: GroupConfig,
    now: Ns,
    incarnations: u64,
    /// Calls on their way, and those that are held back.
    in_flight: Vec<PendingCall>,
    held_back: Vec<PendingCall>,
    published: Vec<(u64, Result<u64, PublishError>)>,
}

impl Network {
    fn new(voters: usize, safety_checks: SafetyChecks, max_log_bytes: usize) -> Network {
        let config = group_config(voters, safety_checks);
        let (in_flight, held_back, published) = (Vec::new(), Vec::new(), Vec::new());
        let mut net =
            Network { relays: Vec::new(), config, now: 0, incarnations: 0, in_flight, held_back, published };
        for index in 0..voters {
            let relay = net.start(index, max_log_bytes);
            net.relays.push(relay);
        }
        net
    }

    /// A voter that starts without memory.
    fn start(&mut self, index: usize, max_log_bytes: usize) -> Relay {
        self.incarnations += 1;
        let window = RetentionWindow {
            purge_propagation: 0,
            hold_time: retention::PURGE_HOLD_TIME,
            clock_tolerance: 0,
        };
        let relay_config = relay_config(&format!("r{index}"), window, max_log_bytes);
        let member = Member { number: index as u32, incarnation: self.incarnations };
        Relay::voter(relay_config, member, index as u32, self.config.clone(), index as u64, self.now)
    }

    fn unix(&self) -> u64 {
        UNIX + self.now / MS
    }

    fn collect(&mut self, of: usize) {
        for action in self.relays[of].take_actions() {
            match action {
                Action::Call { voter, call_id, request } => {
                    self.in_flight.push((of, voter as usize, call_id, request));
                }
                Action::Published { ticket, result } => self.published.push((ticket, result)),
                _ => {}
            }
        }
    }

    /// Delivers a call and its reply at once.
    fn deliver(&mut self, (from, to, call_id, request): PendingCall) -> PeerAnswer {
        let unix = self.unix();
        let reply = self.relays[to].on_peer_request(self.now, unix, request);
        self.collect(to);
        let answer = reply.answer.clone();
        self.relays[from].on_peer_reply(self.now, unix, to as u32, call_id, reply);
        self.collect(from);
        answer
    }

    /// Steps those that run and delivers what `passes`; the rest is held back.
    fn run(&mut self, ms: u64, runs: &[usize], passes: impl Fn(usize, usize, &PeerCall) -> bool) {
        for _ in 0..ms {
            self.now += MS;
            let unix = self.unix();
            for of in runs {
                self.relays[*of].step(self.now, unix);
                self.collect(*of);
            }
            while let Some(call) = self.in_flight.pop() {
                if passes(call.0, call.1, &call.3.call) {
                    self.deliver(call);
                } else {
                    self.held_back.push(call);
                }
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..self.relays.len()).find(|v| self.relays[*v].leader_token(self.now).is_some())
    }

    fn publish(&mut self, at: usize, ticket: u64, key: &str, event: &Event) {
        let unix = self.unix();
        self.relays[at].publish(self.now, unix, ticket, Some(key), event.body().as_bytes());
        self.collect(at);
    }

    /// Numbers and bodies that a voter has committed, without the first entries of leaders.
    fn committed(&self, of: usize) -> Vec<(u64, String)> {
        let all = self.relays[of].log().entries_after(0, usize::MAX).into_iter().map(|e| (e.number, e.body));
        all.filter(|(_, b)| b != Event::empty_update().body()).collect()
    }
}

/// A group with a leader and a list.
fn start_group(voters: usize, safety_checks: SafetyChecks) -> (Network, Vec<usize>, usize) {
    let all: Vec<usize> = (0..voters).collect();
    let mut net = Network::new(voters, safety_checks, 1 << 20);
    net.run(1_500, &all, |_, _, _| true);
    let leader = net.leader().expect("a leader");
    net.publish(leader, 0, "list", &list(1, true, &[]));
    net.run(300, &all, |_, _, _| true);
    assert_eq!(net.published.len(), 1);
    (net, all, leader)
}

/// A leader reads from three of five voters, one of which restarts between its answer and the last of the three. What
/// the old leader commits meanwhile with the help of the restarted one must not be overlooked. Returns whether all
/// commit the same.
fn all_commit_the_same_though_one_forgets(safety_checks: SafetyChecks) -> bool {
    let (mut net, all, old) = start_group(5, safety_checks);
    let others: Vec<usize> = all.iter().copied().filter(|v| *v != old).collect();
    let (next, forgets, last, far) = (others[0], others[1], others[2], others[3]);
    // The old leader publishes, and its calls are on their way for long; then it stands still.
    net.publish(old, 1, "x", &purge(7, UNIX));
    net.held_back.append(&mut net.in_flight);
    let late_appends = std::mem::take(&mut net.held_back);
    // Another one becomes the leader: of its reads one arrives.
    let is_read = |c: &PeerCall| matches!(c, PeerCall::Read { .. });
    net.run(2_000, &[next], |_, to, call| to != old && (!is_read(call) || to == forgets));
    assert!(net.held_back.iter().any(|l| l.0 == next && is_read(&l.3.call)), "it reads");
    // That voter restarts and recovers from the old leader and the two that were not read.
    net.relays[forgets] = net.start(forgets, 1 << 20);
    net.held_back.clear();
    let is_lease = |c: &PeerCall| matches!(c, PeerCall::Lease(_));
    net.run(300, &[next, forgets], |from, to, call| match call {
        PeerCall::Recover => to != next,
        call => from == next && to != old && is_lease(call),
    });
    let unix = net.unix();
    assert_eq!(net.relays[forgets].status(net.now, unix).recovering_ms, None, "recovered");
    // The old leader's calls arrive at last, and a majority stores its event.
    for call in late_appends.into_iter().filter(|l| l.1 == forgets || l.1 == far) {
        net.deliver(call);
    }
    assert!(net.published.iter().any(|(ticket, r)| *ticket == 1 && r.is_ok()), "committed");
    // Only now is the third voter read.
    net.in_flight.clear();
    net.run(300, &[next], |_, to, call| to != old && is_lease(call) || to == last && is_read(call));
    net.held_back.clear();
    net.run(2_000, &[next, forgets, last, far], |_, to, _| to != old);
    let leader = net.leader().expect("a leader");
    net.publish(leader, 2, "y", &purge(8, UNIX));
    net.run(2_000, &all, |_, _, _| true);
    let committed = net.committed(old);
    committed.len() >= 2 && all.iter().all(|v| net.committed(*v) == committed)
}

#[test]
fn answers_of_an_earlier_incarnation_do_not_count_beside_those_that_know_of_a_later_one() {
    assert!(all_commit_the_same_though_one_forgets(SafetyChecks::default()));
    let without = SafetyChecks { incarnations: false, ..SafetyChecks::default() };
    assert!(!all_commit_the_same_though_one_forgets(without), "left out and not found");
}

#[test]
fn an_old_leader_is_rejected_and_what_it_still_sends_changes_nothing() {
    let (mut net, all, old) = start_group(3, SafetyChecks::default());
    let others: Vec<usize> = all.iter().copied().filter(|v| *v != old).collect();
    net.publish(old, 1, "x", &purge(1, UNIX));
    let late = std::mem::take(&mut net.in_flight);
    net.run(2_000, &others, |_, to, _| to != old);
    let new = net.leader().expect("another leader");
    assert_ne!(new, old);
    net.publish(new, 2, "y", &purge(2, UNIX));
    net.run(300, &others, |_, to, _| to != old);
    let expected = net.committed(new);
    for call in late {
        assert!(matches!(net.deliver(call), PeerAnswer::StaleToken(_)));
    }
    assert_eq!(net.published.last(), Some(&(1, Err(PublishError::LeadershipLost))));
    net.publish(old, 3, "z", &purge(3, UNIX));
    assert!(matches!(net.published.last(), Some((3, Err(PublishError::NotLeader(_))))));
    net.run(1_000, &all, |_, _, _| true);
    assert!(all.iter().all(|v| net.committed(*v) == expected), "{expected:?}");
    assert!(net.relays.iter_mut().any(|r| r.status(net.now, UNIX).rejected_tokens > 0));
}

#[test]
fn a_full_log_rejects_events_drops_no_active_purge_and_knows_keys_again() {
    let all = [0, 1, 2];
    let mut net = Network::new(3, SafetyChecks::default(), 2_000);
    net.run(1_500, &all, |_, _, _| true);
    let at = net.leader().expect("a leader");
    net.publish(at, 0, "early", &purge(0, UNIX));
    assert_eq!(net.published.pop(), Some((0, Err(PublishError::NoList))));
    net.publish(at, 0, "list", &list(1, true, &[]));
    for i in 1..30 {
        let unix = net.unix();
        net.publish(at, i, &format!("m{i}"), &purge(i, unix));
        net.run(5, &all, |_, _, _| true);
    }
    let full = net.published.iter().filter(|(_, r)| matches!(r, Err(PublishError::LogFull(_)))).count();
    assert!((5..20).contains(&full), "{full} rejected");
    let (first, accepted) = (net.published[1].1.clone(), net.committed(at).len());
    assert_eq!(accepted, 30 - full, "nothing was dropped");
    net.publish(at, 50, "m1", &purge(1, UNIX));
    assert_eq!(net.published.last(), Some(&(50, first)), "the same number");
    assert_eq!(net.committed(at).len(), accepted);
    net.publish(at, 51, "ahead", &purge(1, UNIX + 3_600_000));
    assert!(matches!(net.published.last(), Some((51, Err(PublishError::PurgeInFuture { .. })))));
    // Once the purges have expired there is room again.
    net.run(131_500, &all, |_, _, _| true);
    let at = net.leader().expect("a leader");
    let unix = net.unix();
    net.publish(at, 60, "after", &purge(60, unix));
    net.run(300, &all, |_, _, _| true);
    assert!(matches!(net.published.last(), Some((60, Ok(_)))), "{:?}", net.published.last());
}

#[test]
fn a_new_leader_calls_nothing_applied_everywhere_before_all_voters_have_reported() {
    // One subscriber has the last event and one has not, at either of the two voters that are left.
    for behind in [0, 1] {
        let (mut net, all, old) = start_group(3, SafetyChecks::default());
        let others: Vec<usize> = all.iter().copied().filter(|v| *v != old).collect();
        let first = net.relays[old].last_number();
        let calls = |net: &mut Network, last: u64| {
            for (i, v) in others.iter().enumerate() {
                let (now, number) = (net.now, if i == behind { first } else { last });
                net.relays[*v].on_subscriber_connected(now, UNIX, &format!("d{i}"), number);
            }
        };
        calls(&mut net, first);
        net.publish(old, 1, "x", &purge(1, UNIX));
        net.run(300, &all, |_, _, _| true);
        let last = net.relays[old].last_number();
        for _ in 0..4 {
            calls(&mut net, last);
            net.run(500, &others, |_, to, _| to != old);
        }
        let leader = net.leader().filter(|s| *s != old).expect("another leader");
        let history = net.relays[leader].status(net.now, UNIX).floor_history;
        assert!(
            history.last().is_some_and(|applied| applied.number == first),
            "{behind}: {first} {last} {history:?}"
        );
    }
}

#[test]
fn when_all_restart_numbers_go_past_all_that_were_sent() {
    let (mut net, all, old) = start_group(3, SafetyChecks::default());
    net.publish(old, 1, "x", &purge(1, UNIX));
    net.run(300, &all, |_, _, _| true);
    let before = net.relays[old].last_number();
    for index in 0..3 {
        net.relays[index] = net.start(index, 1 << 20);
        // Its subscriber returns with a number that the relay does not have.
        net.relays[index].on_subscriber_connected(net.now, UNIX, "d", before);
    }
    net.in_flight.clear();
    net.run(1_500, &all, |_, _, _| true);
    let at = net.leader().expect("a leader");
    let unix = net.unix();
    let sent = |net: &mut Network| {
        let mut out = Vec::new();
        let up_to = net.relays[at].encode_after(before, 1 << 16, &mut out);
        (up_to, String::from_utf8(out).expect("text"))
    };
    assert_eq!(sent(&mut net).0, before, "no empty list is sent in index of one that nobody knows");
    assert!(net.relays[at].status(net.now, unix).reset_unix_ms > UNIX);
    net.publish(at, 2, "x", &purge(1, UNIX));
    assert_eq!(net.published.last(), Some(&(2, Err(PublishError::NoList))));
    net.publish(at, 3, "list", &list(1, true, &[]));
    net.run(300, &all, |_, _, _| true);
    let (up_to, text) = sent(&mut net);
    assert!(up_to > before && text.contains(r#""snapshot":true"#), "{before} {up_to} {text}");
}
