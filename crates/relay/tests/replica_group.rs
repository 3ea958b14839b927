//! Tests of the replica group in which each message is delivered at a chosen time.

mod help;

use help::*;
use sablecross_relay::*;

/// A call that was not delivered yet: sender, receiver, call id and request.
type PendingCall = (usize, usize, u64, PeerRequest);

struct Network {
    relays: Vec<Relay>,
    config: GroupConfig,
    now: Ns,
    incarnation_count: u64,
    /// Calls that will be delivered in the current step.
    in_flight: Vec<PendingCall>,
    /// Calls that `run` did not deliver.
    held_back: Vec<PendingCall>,
    published: Vec<(u64, Result<u64, PublishError>)>,
}

impl Network {
    fn new(voters: usize, safety_checks: SafetyChecks, max_log_bytes: usize) -> Network {
        let config = group_config(voters, safety_checks);
        let (in_flight, held_back, published) = (Vec::new(), Vec::new(), Vec::new());
        let mut net = Network {
            relays: Vec::new(),
            config,
            now: 0,
            incarnation_count: 0,
            in_flight,
            held_back,
            published,
        };
        for index in 0..voters {
            let relay = net.start(index, max_log_bytes);
            net.relays.push(relay);
        }
        net
    }

    /// Returns a new incarnation of a voter, with an empty log.
    fn start(&mut self, index: usize, max_log_bytes: usize) -> Relay {
        self.incarnation_count += 1;
        let retention = RetentionWindow {
            purge_propagation: 0,
            hold_time: retention::PURGE_HOLD_TIME,
            clock_tolerance: 0,
        };
        let relay_config = relay_config(&format!("r{index}"), retention, max_log_bytes);
        let member = Member { number: index as u32, incarnation: self.incarnation_count };
        Relay::voter(relay_config, member, index as u32, self.config.clone(), index as u64, self.now)
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now / MS
    }

    fn collect(&mut self, index: usize) {
        for action in self.relays[index].take_actions() {
            match action {
                Action::Call { voter, call_id, request } => {
                    self.in_flight.push((index, voter as usize, call_id, request));
                }
                Action::Published { ticket, result } => self.published.push((ticket, result)),
                _ => {}
            }
        }
    }

    /// Delivers a call and its reply, and returns the answer.
    fn deliver(&mut self, (from, to, call_id, request): PendingCall) -> PeerAnswer {
        let unix_ms = self.unix_ms();
        let reply = self.relays[to].on_peer_request(self.now, unix_ms, request);
        self.collect(to);
        let answer = reply.answer.clone();
        self.relays[from].on_peer_reply(self.now, unix_ms, to as u32, call_id, reply);
        self.collect(from);
        answer
    }

    /// Steps the `running` voters for `ms` milliseconds. Delivers the calls for which `delivers` returns true, and
    /// holds back the others.
    fn run(&mut self, ms: u64, running: &[usize], delivers: impl Fn(usize, usize, &PeerCall) -> bool) {
        for _ in 0..ms {
            self.now += MS;
            let unix_ms = self.unix_ms();
            for index in running {
                self.relays[*index].step(self.now, unix_ms);
                self.collect(*index);
            }
            while let Some(call) = self.in_flight.pop() {
                if delivers(call.0, call.1, &call.3.call) {
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

    fn publish(&mut self, voter: usize, ticket: u64, key: &str, event: &Event) {
        let unix_ms = self.unix_ms();
        self.relays[voter].publish(self.now, unix_ms, ticket, Some(key), event.body().as_bytes());
        self.collect(voter);
    }

    /// Returns the numbers and bodies of a voter's committed entries, without the first entries of leaders.
    fn committed(&self, index: usize) -> Vec<(u64, String)> {
        let all =
            self.relays[index].log().entries_after(0, usize::MAX).into_iter().map(|e| (e.number, e.body));
        all.filter(|(_, b)| b != Event::empty_update().body()).collect()
    }
}

/// Returns a group with a leader and a published list, the indices of all voters, and the leader's index.
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

/// Guards against counting an answer from before a restart together with later ones. A new leader reads the logs of
/// a majority of five voters. One of these voters restarts after its answer and before the last of the others is
/// read. In between, the old leader commits an event with the help of the restarted voter, and the new leader must
/// not miss this event. Returns whether all voters commit the same events.
fn all_commit_the_same_after_a_restart_between_answers(safety_checks: SafetyChecks) -> bool {
    let (mut net, all, old_leader) = start_group(5, safety_checks);
    let others: Vec<usize> = all.iter().copied().filter(|v| *v != old_leader).collect();
    let (new_leader, restarted, third, fourth) = (others[0], others[1], others[2], others[3]);
    // The old leader accepts an event, its calls are delayed, and it stops running.
    net.publish(old_leader, 1, "x", &purge(7, START_UNIX_MS));
    net.held_back.append(&mut net.in_flight);
    let late_appends = std::mem::take(&mut net.held_back);
    // Another voter becomes the leader, and one of its read calls is delivered.
    let is_read = |c: &PeerCall| matches!(c, PeerCall::Read { .. });
    net.run(2_000, &[new_leader], |_, to, call| to != old_leader && (!is_read(call) || to == restarted));
    assert!(net.held_back.iter().any(|l| l.0 == new_leader && is_read(&l.3.call)), "a read call is pending");
    // The voter that was read restarts, and recovers from the old leader and the two voters that were not read.
    net.relays[restarted] = net.start(restarted, 1 << 20);
    net.held_back.clear();
    let is_lease = |c: &PeerCall| matches!(c, PeerCall::Lease(_));
    net.run(300, &[new_leader, restarted], |from, to, call| match call {
        PeerCall::Recover => to != new_leader,
        call => from == new_leader && to != old_leader && is_lease(call),
    });
    let unix_ms = net.unix_ms();
    assert_eq!(net.relays[restarted].status(net.now, unix_ms).recovering_ms, None, "recovered");
    // The delayed calls of the old leader are delivered, and a majority stores its event.
    for call in late_appends.into_iter().filter(|l| l.1 == restarted || l.1 == fourth) {
        net.deliver(call);
    }
    assert!(net.published.iter().any(|(ticket, r)| *ticket == 1 && r.is_ok()), "committed");
    // Only then is the third voter read.
    net.in_flight.clear();
    net.run(300, &[new_leader], |_, to, call| {
        to != old_leader && is_lease(call) || to == third && is_read(call)
    });
    net.held_back.clear();
    net.run(2_000, &[new_leader, restarted, third, fourth], |_, to, _| to != old_leader);
    let leader = net.leader().expect("a leader");
    net.publish(leader, 2, "y", &purge(8, START_UNIX_MS));
    net.run(2_000, &all, |_, _, _| true);
    let committed = net.committed(old_leader);
    committed.len() >= 2 && all.iter().all(|v| net.committed(*v) == committed)
}

#[test]
fn answers_of_an_earlier_incarnation_are_not_counted_with_later_ones() {
    assert!(all_commit_the_same_after_a_restart_between_answers(SafetyChecks::default()));
    let without_check = SafetyChecks { incarnations: false, ..SafetyChecks::default() };
    assert!(
        !all_commit_the_same_after_a_restart_between_answers(without_check),
        "the disabled check was not detected"
    );
}

#[test]
fn delayed_calls_of_an_old_leader_are_rejected_and_change_nothing() {
    let (mut net, all, old_leader) = start_group(3, SafetyChecks::default());
    let others: Vec<usize> = all.iter().copied().filter(|v| *v != old_leader).collect();
    net.publish(old_leader, 1, "x", &purge(1, START_UNIX_MS));
    let delayed = std::mem::take(&mut net.in_flight);
    net.run(2_000, &others, |_, to, _| to != old_leader);
    let latest_leader = net.leader().expect("another leader");
    assert_ne!(latest_leader, old_leader);
    net.publish(latest_leader, 2, "y", &purge(2, START_UNIX_MS));
    net.run(300, &others, |_, to, _| to != old_leader);
    let expected = net.committed(latest_leader);
    for call in delayed {
        assert!(matches!(net.deliver(call), PeerAnswer::StaleToken(_)));
    }
    assert_eq!(net.published.last(), Some(&(1, Err(PublishError::LeadershipLost))));
    net.publish(old_leader, 3, "z", &purge(3, START_UNIX_MS));
    assert!(matches!(net.published.last(), Some((3, Err(PublishError::NotLeader(_))))));
    net.run(1_000, &all, |_, _, _| true);
    assert!(all.iter().all(|v| net.committed(*v) == expected), "{expected:?}");
    assert!(net.relays.iter_mut().any(|r| r.status(net.now, START_UNIX_MS).rejected_tokens > 0));
}

#[test]
fn a_full_log_rejects_events_keeps_active_purges_and_recognizes_keys() {
    let all = [0, 1, 2];
    let mut net = Network::new(3, SafetyChecks::default(), 2_000);
    net.run(1_500, &all, |_, _, _| true);
    let leader = net.leader().expect("a leader");
    net.publish(leader, 0, "early", &purge(0, START_UNIX_MS));
    assert_eq!(net.published.pop(), Some((0, Err(PublishError::NoList))));
    net.publish(leader, 0, "list", &list(1, true, &[]));
    for i in 1..30 {
        let unix_ms = net.unix_ms();
        net.publish(leader, i, &format!("m{i}"), &purge(i, unix_ms));
        net.run(5, &all, |_, _, _| true);
    }
    let full = net.published.iter().filter(|(_, r)| matches!(r, Err(PublishError::LogFull(_)))).count();
    assert!((5..20).contains(&full), "{full} rejected");
    let (first, accepted) = (net.published[1].1.clone(), net.committed(leader).len());
    assert_eq!(accepted, 30 - full, "nothing was dropped");
    net.publish(leader, 50, "m1", &purge(1, START_UNIX_MS));
    assert_eq!(net.published.last(), Some(&(50, first)), "the same number");
    assert_eq!(net.committed(leader).len(), accepted);
    net.publish(leader, 51, "ahead", &purge(1, START_UNIX_MS + 3_600_000));
    assert!(matches!(net.published.last(), Some((51, Err(PublishError::PurgeInFuture { .. })))));
    // Once the purges have expired, the log accepts events again.
    net.run(131_500, &all, |_, _, _| true);
    let leader = net.leader().expect("a leader");
    let unix_ms = net.unix_ms();
    net.publish(leader, 60, "after", &purge(60, unix_ms));
    net.run(300, &all, |_, _, _| true);
    assert!(matches!(net.published.last(), Some((60, Ok(_)))), "{:?}", net.published.last());
}

#[test]
fn a_new_leader_records_no_floor_before_all_voters_have_reported() {
    // Of two subscribers, one has applied the last event and one has not, each at one of the two remaining voters.
    for behind in [0, 1] {
        let (mut net, all, old_leader) = start_group(3, SafetyChecks::default());
        let others: Vec<usize> = all.iter().copied().filter(|v| *v != old_leader).collect();
        let first = net.relays[old_leader].last_number();
        let report_applied_numbers = |net: &mut Network, last: u64| {
            for (i, v) in others.iter().enumerate() {
                let (now, number) = (net.now, if i == behind { first } else { last });
                net.relays[*v].on_subscriber_connected(now, START_UNIX_MS, &format!("d{i}"), number);
            }
        };
        report_applied_numbers(&mut net, first);
        net.publish(old_leader, 1, "x", &purge(1, START_UNIX_MS));
        net.run(300, &all, |_, _, _| true);
        let last = net.relays[old_leader].last_number();
        for _ in 0..4 {
            report_applied_numbers(&mut net, last);
            net.run(500, &others, |_, to, _| to != old_leader);
        }
        let leader = net.leader().filter(|s| *s != old_leader).expect("another leader");
        let history = net.relays[leader].status(net.now, START_UNIX_MS).floor_history;
        assert!(
            history.last().is_some_and(|applied| applied.number == first),
            "{behind}: {first} {last} {history:?}"
        );
    }
}

#[test]
fn after_a_restart_of_all_voters_numbers_continue_past_all_that_were_sent() {
    let (mut net, all, old_leader) = start_group(3, SafetyChecks::default());
    net.publish(old_leader, 1, "x", &purge(1, START_UNIX_MS));
    net.run(300, &all, |_, _, _| true);
    let before = net.relays[old_leader].last_number();
    for index in 0..3 {
        net.relays[index] = net.start(index, 1 << 20);
        // The subscriber reconnects with a number that the relay does not have.
        net.relays[index].on_subscriber_connected(net.now, START_UNIX_MS, "d", before);
    }
    net.in_flight.clear();
    net.run(1_500, &all, |_, _, _| true);
    let leader = net.leader().expect("a leader");
    let unix_ms = net.unix_ms();
    let encode_after_restart = |net: &mut Network| {
        let mut out = Vec::new();
        let up_to = net.relays[leader].encode_after(before, 1 << 16, &mut out);
        (up_to, String::from_utf8(out).expect("text"))
    };
    assert_eq!(encode_after_restart(&mut net).0, before, "no empty list is sent in place of the unknown one");
    assert!(net.relays[leader].status(net.now, unix_ms).reset_unix_ms > START_UNIX_MS);
    net.publish(leader, 2, "x", &purge(1, START_UNIX_MS));
    assert_eq!(net.published.last(), Some(&(2, Err(PublishError::NoList))));
    net.publish(leader, 3, "list", &list(1, true, &[]));
    net.run(300, &all, |_, _, _| true);
    let (up_to, text) = encode_after_restart(&mut net);
    assert!(up_to > before && text.contains(r#""snapshot":true"#), "{before} {up_to} {text}");
}
