//! Scripts for the group of voters: which message comes when is said, nothing is left to chance.

mod help;

use help::*;
use sablecross_relay::*;

type Letter = (usize, usize, u64, PeerRequest);

struct Net {
    relays: Vec<Relay>,
    rules: GroupConfig,
    now: Ns,
    lives: u64,
    /// What is on its way, and what is held up.
    on_way: Vec<Letter>,
    held: Vec<Letter>,
    published: Vec<(u64, Result<u64, PublishError>)>,
}

impl Net {
    fn new(voters: usize, defences: SafetyChecks, most_log: usize) -> Net {
        let rules = rules(voters, defences);
        let (on_way, held, published) = (Vec::new(), Vec::new(), Vec::new());
        let mut net = Net { relays: Vec::new(), rules, now: 0, lives: 0, on_way, held, published };
        for place in 0..voters {
            let relay = net.begin(place, most_log);
            net.relays.push(relay);
        }
        net
    }

    fn begin(&mut self, place: usize, most_log: usize) -> Relay {
        self.lives += 1;
        let horizon = RetentionWindow {
            purge_propagation: 0,
            hold_time: retention::PURGE_HOLD_TIME,
            clock_tolerance: 0,
        };
        let set = settings(&format!("r{place}"), horizon, most_log);
        let me = Member { number: place as u32, incarnation: self.lives };
        Relay::voter(set, me, place as u32, self.rules.clone(), place as u64, self.now)
    }

    fn unix(&self) -> u64 {
        UNIX + self.now / MS
    }

    fn collect(&mut self, of: usize) {
        for act in self.relays[of].take_actions() {
            match act {
                Action::Call { voter, call_id: number, request } => {
                    self.on_way.push((of, voter as usize, number, request));
                }
                Action::Published { ticket, result } => self.published.push((ticket, result)),
                _ => {}
            }
        }
    }

    /// There and back at once.
    fn deliver(&mut self, (from, to, number, request): Letter) -> PeerAnswer {
        let unix = self.unix();
        let reply = self.relays[to].on_peer_request(self.now, unix, request);
        self.collect(to);
        let answer = reply.answer.clone();
        self.relays[from].on_peer_reply(self.now, unix, to as u32, number, reply);
        self.collect(from);
        answer
    }

    /// Steps those who run and delivers what `passes`; the rest is held.
    fn run(&mut self, ms: u64, runs: &[usize], passes: impl Fn(usize, usize, &PeerCall) -> bool) {
        for _ in 0..ms {
            self.now += MS;
            let unix = self.unix();
            for of in runs {
                self.relays[*of].step(self.now, unix);
                self.collect(*of);
            }
            while let Some(letter) = self.on_way.pop() {
                if passes(letter.0, letter.1, &letter.3.call) {
                    self.deliver(letter);
                } else {
                    self.held.push(letter);
                }
            }
        }
    }

    fn source(&self) -> Option<usize> {
        (0..self.relays.len()).find(|v| self.relays[*v].leader_token(self.now).is_some())
    }

    fn publish(&mut self, at: usize, ticket: u64, mark: &str, event: &Event) {
        let unix = self.unix();
        self.relays[at].publish(self.now, unix, ticket, Some(mark), event.body().as_bytes());
        self.collect(at);
    }

    /// Numbers and bodies that a voter may tell, past the opening ones of owners.
    fn told(&self, of: usize) -> Vec<(u64, String)> {
        let all = self.relays[of].log().entries_after(0, usize::MAX).into_iter().map(|e| (e.number, e.body));
        all.filter(|(_, b)| b != Event::empty_update().body()).collect()
    }
}

fn up(voters: usize, defences: SafetyChecks) -> (Net, Vec<usize>, usize) {
    let all: Vec<usize> = (0..voters).collect();
    let mut net = Net::new(voters, defences, 1 << 20);
    net.run(1_500, &all, |_, _, _| true);
    let owner = net.source().expect("an owner");
    net.publish(owner, 0, "list", &list(1, true, &[]));
    net.run(300, &all, |_, _, _| true);
    assert_eq!(net.published.len(), 1);
    (net, all, owner)
}

/// An owner reads from three of five, one of which forgets between its answer and the last of the three. What
/// the old owner gets kept meanwhile with the help of the forgetful one must not be overlooked. Returns
/// whether all tell the same.
fn forgets_in_between(defences: SafetyChecks) -> bool {
    let (mut net, all, old) = up(5, defences);
    let others: Vec<usize> = all.iter().copied().filter(|v| *v != old).collect();
    let (next, forgets, last, far) = (others[0], others[1], others[2], others[3]);
    // The old owner publishes, and its calls are on their way for long; then it stands still.
    net.publish(old, 1, "x", &purge(7, UNIX));
    net.held.append(&mut net.on_way);
    let keeps = std::mem::take(&mut net.held);
    // Another one begins: of its reads one comes through.
    let read = |c: &PeerCall| matches!(c, PeerCall::Read { .. });
    net.run(2_000, &[next], |_, to, call| to != old && (!read(call) || to == forgets));
    assert!(net.held.iter().any(|l| l.0 == next && read(&l.3.call)), "it reads");
    // That voter begins anew and learns from the old owner and the two that were not read.
    let anew = net.begin(forgets, 1 << 20);
    net.relays[forgets] = anew;
    net.held.clear();
    let duty = |c: &PeerCall| matches!(c, PeerCall::Lease(_));
    net.run(300, &[next, forgets], |from, to, call| match call {
        PeerCall::Recover => to != next,
        call => from == next && to != old && duty(call),
    });
    let unix = net.unix();
    assert_eq!(net.relays[forgets].status(net.now, unix).recovering_ms, None, "learnt");
    // The old owner's calls come at last, and most keep its event.
    for letter in keeps.into_iter().filter(|l| l.1 == forgets || l.1 == far) {
        net.deliver(letter);
    }
    assert!(net.published.iter().any(|(ticket, r)| *ticket == 1 && r.is_ok()), "told");
    // Only now is the third voter read.
    net.on_way.clear();
    net.run(300, &[next], |_, to, call| to != old && duty(call) || to == last && read(call));
    net.held.clear();
    net.run(2_000, &[next, forgets, last, far], |_, to, _| to != old);
    let source = net.source().expect("a source");
    net.publish(source, 2, "y", &purge(8, UNIX));
    net.run(2_000, &all, |_, _, _| true);
    let told = net.told(old);
    told.len() >= 2 && all.iter().all(|v| net.told(*v) == told)
}

#[test]
fn what_a_voter_said_in_an_earlier_life_does_not_count_beside_those_that_know_of_a_later_one() {
    assert!(forgets_in_between(SafetyChecks::default()));
    let left_out = SafetyChecks { incarnations: false, ..SafetyChecks::default() };
    assert!(!forgets_in_between(left_out), "left out and not found");
}

#[test]
fn of_two_sources_one_is_refused_and_what_it_still_sends_changes_nothing() {
    let (mut net, all, old) = up(3, SafetyChecks::default());
    let others: Vec<usize> = all.iter().copied().filter(|v| *v != old).collect();
    net.publish(old, 1, "x", &purge(1, UNIX));
    let late = std::mem::take(&mut net.on_way);
    net.run(2_000, &others, |_, to, _| to != old);
    let new = net.source().expect("another source");
    assert_ne!(new, old);
    net.publish(new, 2, "y", &purge(2, UNIX));
    net.run(300, &others, |_, to, _| to != old);
    let kept = net.told(new);
    for letter in late {
        assert!(matches!(net.deliver(letter), PeerAnswer::StaleToken(_)));
    }
    assert_eq!(net.published.last(), Some(&(1, Err(PublishError::LeadershipLost))));
    net.publish(old, 3, "z", &purge(3, UNIX));
    assert!(matches!(net.published.last(), Some((3, Err(PublishError::NotLeader(_))))));
    net.run(1_000, &all, |_, _, _| true);
    assert!(all.iter().all(|v| net.told(*v) == kept), "{kept:?}");
    assert!(net.relays.iter_mut().any(|r| r.status(net.now, UNIX).rejected_tokens > 0));
}

#[test]
fn a_full_log_refuses_and_keeps_what_binds_and_marks_are_known_again() {
    let all = [0, 1, 2];
    let mut net = Net::new(3, SafetyChecks::default(), 2_000);
    net.run(1_500, &all, |_, _, _| true);
    let at = net.source().expect("a source");
    net.publish(at, 0, "early", &purge(0, UNIX));
    assert_eq!(net.published.pop(), Some((0, Err(PublishError::NoList))));
    net.publish(at, 0, "list", &list(1, true, &[]));
    for i in 1..30 {
        let unix = net.unix();
        net.publish(at, i, &format!("m{i}"), &purge(i, unix));
        net.run(5, &all, |_, _, _| true);
    }
    let full = net.published.iter().filter(|(_, r)| matches!(r, Err(PublishError::LogFull(_)))).count();
    assert!((5..20).contains(&full), "{full} refused");
    let (first, taken) = (net.published[1].1.clone(), net.told(at).len());
    assert_eq!(taken, 30 - full, "nothing was dropped");
    net.publish(at, 50, "m1", &purge(1, UNIX));
    assert_eq!(net.published.last(), Some(&(50, first)), "the same number");
    assert_eq!(net.told(at).len(), taken);
    net.publish(at, 51, "ahead", &purge(1, UNIX + 3_600_000));
    assert!(matches!(net.published.last(), Some((51, Err(PublishError::PurgeInFuture { .. })))));
    // Once the purges bind no more there is room again.
    net.run(131_500, &all, |_, _, _| true);
    let at = net.source().expect("a source");
    let unix = net.unix();
    net.publish(at, 60, "after", &purge(60, unix));
    net.run(300, &all, |_, _, _| true);
    assert!(matches!(net.published.last(), Some((60, Ok(_)))), "{:?}", net.published.last());
}

#[test]
fn a_new_owner_calls_nothing_in_force_everywhere_before_it_heard_all_voters() {
    // One reader has the last event and one has not, at either of the two that are left.
    for behind in [0, 1] {
        let (mut net, all, old) = up(3, SafetyChecks::default());
        let others: Vec<usize> = all.iter().copied().filter(|v| *v != old).collect();
        let first = net.relays[old].last_number();
        let calls = |net: &mut Net, last: u64| {
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
        let source = net.source().filter(|s| *s != old).expect("another source");
        let passed = net.relays[source].status(net.now, UNIX).floor_history;
        assert!(
            passed.last().is_some_and(|applied| applied.number == first),
            "{behind}: {first} {last} {passed:?}"
        );
    }
}

#[test]
fn when_all_begin_anew_numbers_go_past_all_that_were_told() {
    let (mut net, all, old) = up(3, SafetyChecks::default());
    net.publish(old, 1, "x", &purge(1, UNIX));
    net.run(300, &all, |_, _, _| true);
    let before = net.relays[old].last_number();
    for place in 0..3 {
        net.relays[place] = net.begin(place, 1 << 20);
        // Its reader comes back with more than there is.
        net.relays[place].on_subscriber_connected(net.now, UNIX, "d", before);
    }
    net.on_way.clear();
    net.run(1_500, &all, |_, _, _| true);
    let at = net.source().expect("a source");
    let unix = net.unix();
    let told = |net: &mut Net| {
        let mut out = Vec::new();
        let upto = net.relays[at].encode_after(before, 1 << 16, &mut out);
        (upto, String::from_utf8(out).expect("text"))
    };
    assert_eq!(told(&mut net).0, before, "no empty list is told for one that nobody knows");
    assert!(net.relays[at].status(net.now, unix).reset_unix_ms > UNIX);
    net.publish(at, 2, "x", &purge(1, UNIX));
    assert_eq!(net.published.last(), Some(&(2, Err(PublishError::NoList))));
    net.publish(at, 3, "list", &list(1, true, &[]));
    net.run(300, &all, |_, _, _| true);
    let (upto, text) = told(&mut net);
    assert!(upto > before && text.contains(r#""snapshot":true"#), "{before} {upto} {text}");
}
