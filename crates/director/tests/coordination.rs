//! Coordination between directors, as processes on loopback.
#![cfg(feature = "coordination")]

mod help;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use help::reserved_address::{ReservedAddress, addresses_of};
use help::*;
use sablecross_coordination::messages::{MemberStatus, Message, Reply, Request};
use sablecross_coordination::{FencingGuard, Member};
use sablecross_director::coordination::settings::CoordinationSettings;
use sablecross_director::coordination::{HealthCheckTag, call_member};

/// The sender of calls that come from outside the fleet.
const OUTSIDE: Member = Member { number: u32::MAX, incarnation: 0 };

fn settings(voters: &[SocketAddr]) -> String {
    let head = "(duty (lease-ms . 400) (round-ms . 100) (apart-ms . 20) (beat-ms . 100) (probe-ms . 100))\n";
    let lines = voters.iter().enumerate();
    head.to_owned()
        + &lines.map(|(n, at)| format!("(voter (number . {n}) (address . \"{at}\"))\n")).collect::<String>()
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let settings_file =
        std::env::temp_dir().join(format!("sablecross-coordination-{name}-{}.scm", std::process::id()));
    std::fs::write(&settings_file, text).expect("written");
    settings_file
}

/// The configuration changed to that of director `n`, at this address.
fn config_of(config: &str, n: usize, at: SocketAddr) -> String {
    let config = config.replace("\"127.0.0.1:0\"", &format!("\"{at}\""));
    let placed = config.replace("\n    \"index\": 0,", &format!("\n    \"index\": {n},"));
    assert!(n == 0 || placed != config);
    placed.replace("\"zoneBalancers\": [0, 1]", "\"zoneBalancers\": [0, 3]")
}

fn status(at: SocketAddr) -> Option<MemberStatus> {
    let replies =
        call_member(at, &Request { from: OUTSIDE, messages: vec![Message::ShowStatus] }, SHORT_TIMEOUT)
            .ok()?;
    replies.into_iter().find_map(|a| if let Reply::Status(s) = a { Some(s) } else { None })
}

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(started.elapsed() < 4 * LONG_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a node that answers health checks. Returns its address and a receiver of the checks' tags.
fn start_checked_node() -> (SocketAddr, Receiver<HealthCheckTag>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let (tags, received_tags) = channel();
    std::thread::spawn(move || {
        let guard = std::sync::Arc::new(std::sync::Mutex::new(FencingGuard::default()));
        for stream in listener.incoming().map_while(Result::ok) {
            let (tags, guard) = (tags.clone(), guard.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if let Some(text) = line.trim_end().strip_prefix("METER ") {
                        let tag: HealthCheckTag = text.parse().expect("a tag");
                        let admitted = guard.lock().expect("not poisoned").admit(tag.token);
                        let reply = match admitted {
                            Ok(()) => format!("{text} READY stats=cpu:0.25 0\r\n\r\n"),
                            Err(old) => {
                                let newest = HealthCheckTag { token: old.highest, sequence: 0 };
                                format!("{text} STALE newest={newest} 0\r\n\r\n")
                            }
                        };
                        (&stream).write_all(reply.as_bytes()).expect("written");
                        let _ = tags.send(tag);
                    }
                    line.clear();
                }
            });
        }
    });
    (address, received_tags)
}

#[test]
fn three_directors_check_a_node_and_go_on_without_the_assigner() {
    let reserved: [_; 3] = std::array::from_fn(|_| ReservedAddress::new());
    let at = addresses_of(&reserved);
    let settings_file = settings_file("three", &settings(&at));
    let mut harnesses: Vec<Harness> = (0..3)
        .map(|n| {
            Harness::with_config_and_env(
                |config| config_of(&config, n, at[n]),
                &[("SABLECROSS_DUTY", settings_file.as_os_str())],
            )
        })
        .collect();
    let (address, tags) = start_checked_node();
    for harness in &harnesses {
        let (_, feed) = harness.feed.accept_call();
        send_event(&feed, 2, &endpoint_event(2, "cache-checked", address, "ready"));
        harness.wait_for_discovery_events(2);
        std::mem::forget(feed);
    }
    let holder = || {
        (0..3).find(|n| {
            status(at[*n]).is_some_and(|s| s.roles.iter().any(|d| d.role == 0 && d.own_lease.is_some()))
        })
    };
    let first = wait_for("there is an assigner", holder);
    let by = |tag: &HealthCheckTag| tag.token.holder.number;
    let checker = by(&tags.recv_timeout(LONG_TIMEOUT).expect("a health check"));
    // Kill the assigner and the director that checks the node.
    for n in [first, checker as usize] {
        harnesses[n].signal("KILL");
    }
    let gone: Vec<usize> = vec![first, checker as usize];
    if gone[0] != gone[1] {
        // One of three voters is not a majority: the last director stops its work, and its status shows this.
        wait_for("the last director holds no role", || {
            let last = (0..3).find(|n| !gone.contains(n))?;
            status(at[last])
                .filter(|s| s.assignment_valid_for == 0 && s.roles.iter().all(|d| d.own_lease.is_none()))
        });
    } else {
        let next = wait_for("there is another assigner", || holder().filter(|n| *n != first));
        assert!(!gone.contains(&next));
        wait_for("another director checks", || tags.try_recv().ok().filter(|t| by(t) != checker));
    }
    // Requests are still served.
    let last = (0..3).find(|n| !gone.contains(n)).expect("one is left");
    let mut client = harnesses[last].client();
    assert!(client.is_healthy());
    harnesses.clear();
    let _ = std::fs::remove_file(settings_file);
}

#[test]
fn a_hand_over_and_a_stop_signal_pass_the_role_on() {
    let reserved: [_; 3] = std::array::from_fn(|_| ReservedAddress::new());
    let at = addresses_of(&reserved);
    let settings_file = settings_file("over", &settings(&at));
    let harnesses: Vec<Harness> = (0..3)
        .map(|n| {
            Harness::with_config_and_env(
                |config| config_of(&config, n, at[n]),
                &[("SABLECROSS_DUTY", settings_file.as_os_str())],
            )
        })
        .collect();
    let holder = |role: u16| {
        (0..3).find_map(|n| {
            let lease = status(at[n])?.roles.iter().find(|d| d.role == role)?.own_lease?;
            Some((n, lease.token.term))
        })
    };
    let (first, term) = wait_for("there is a holder", || holder(1));
    let to = (first as u32 + 1) % 3;
    let request = Request { from: OUTSIDE, messages: vec![Message::HandOver { role: 1, to: Some(to) }] };
    let replies = wait_for("the assignment is known", || {
        call_member(at[first], &request, LONG_TIMEOUT)
            .ok()
            .filter(|s| s.contains(&Reply::HandOverStarted { role: 1, started: true }))
    });
    assert_eq!(replies, [Reply::HandOverStarted { role: 1, started: true }]);
    let (next, later) = wait_for("the successor holds it", || holder(1).filter(|o| o.1 > term));
    assert!(later > term && next != first);
    harnesses[next].signal("TERM");
    wait_for("it was handed over at the stop", || holder(1).filter(|o| o.0 != next && o.1 > later));
    let _ = std::fs::remove_file(settings_file);
}

#[test]
fn a_voter_is_added_and_the_holder_removed_by_reload() {
    let reserved: [_; 4] = std::array::from_fn(|_| ReservedAddress::new());
    let at = addresses_of(&reserved);
    let settings_file = settings_file("settle", &settings(&at[..3]));
    let harnesses: Vec<Harness> = (0..4)
        .map(|n| {
            Harness::with_config_and_env(
                |config| config_of(&config, n, at[n]),
                &[("SABLECROSS_DUTY", settings_file.as_os_str())],
            )
        })
        .collect();
    let holder = || {
        (0..4).find_map(|n| {
            let lease = status(at[n])?.roles.iter().find(|d| d.role == 0)?.own_lease?;
            Some((n, lease.token.term))
        })
    };
    let (first, _) = wait_for("there is an assigner", holder);
    let reload_all = |text: &str| {
        std::fs::write(&settings_file, text).expect("written");
        harnesses.iter().for_each(|w| w.signal("HUP"));
    };
    reload_all(&settings(&at));
    harnesses.iter().for_each(|w| drop(w.wait_for_log("reload coordination voters=4")));
    wait_for("the fourth director votes", || {
        status(at[3]).filter(|s| s.voter == Some(3) && s.silent_for == 0)
    });
    // Remove the line of the holder; the numbers of the others stay.
    let less: String = settings(&at)
        .lines()
        .filter(|l| !l.contains(&format!("(number . {first})")))
        .map(|l| format!("{l}\n"))
        .collect();
    reload_all(&less);
    let (next, _) = wait_for("there is another assigner", || holder().filter(|o| o.0 != first));
    assert_ne!(next, first);
    wait_for("it is no voter any more", || {
        status(at[first]).filter(|s| s.voter.is_none() && s.roles.is_empty())
    });
    // Two changes at once are rejected, and nothing changes.
    reload_all(&settings(&at[next..=next]));
    harnesses
        .iter()
        .for_each(|w| drop(w.wait_for_log("reload failed, coordination settings stay as they were: ")));
    assert_eq!(holder().map(|o| o.0), Some(next));
    let _ = std::fs::remove_file(settings_file);
}

#[test]
fn calls_fail_without_settings_and_invalid_calls_are_survived() {
    let harness = Harness::start();
    let request = Request { from: OUTSIDE, messages: vec![Message::ShowStatus] };
    let e = call_member(harness.address, &request, LONG_TIMEOUT).expect_err("it answers no calls");
    assert!(e.to_string().contains("SABLECROSS_DUTY"), "{e}");
    let reserved = ReservedAddress::new();
    let at = reserved.address;
    let settings_file = settings_file("odd", &settings(&[at]));
    let harness = Harness::with_config_and_env(
        |config| config_of(&config, 0, at),
        &[("SABLECROSS_DUTY", settings_file.as_os_str())],
    );
    wait_for("it answers", || status(at));
    let mut stream = std::net::TcpStream::connect(at).expect("connected");
    stream
        .write_all(&sablecross_director::wire::rpc::encode_call(3, "duty", b"nothing of the kind"))
        .expect("written");
    wait_for("it still answers", || status(at));
    let mut client = harness.client();
    assert!(client.is_healthy());
    let _ = std::fs::remove_file(settings_file);
}

#[test]
fn faulty_settings_are_rejected_by_file_line_and_key() {
    let voter = "(voter (number . 0) (address . \"127.0.0.1:1\"))";
    let cases = [
        (voter.to_owned(), "no (duty ...) form"),
        ("(duty)".into(), "between 1 and 15 voters"),
        (format!("(duty (lease-ms . 10))\n{voter}"), "f:1:"),
        (format!("(duty (lease-ms . 300) (round-ms . 200))\n{voter}"), "duty.round-ms"),
        (format!("(duty (warming . #t) (probing . #f))\n{voter}"), "duty.warming"),
        (format!("(duty)\n{voter}\n{voter}"), "f:3:1: voter: another voter has the same number or address"),
        (format!("(duty)\n(duty)\n{voter}"), "f:2:1: duty: a second (duty ...) form"),
        ("(duty)\n(voter (number . 0) (address . \"here\"))".into(), "f:2:"),
        (format!("(duty (lease . 10))\n{voter}"), "lease"),
    ];
    for (text, what) in cases {
        let error = CoordinationSettings::parse("f", &text).expect_err(&text)[0].to_string();
        assert!(error.contains(what), "{text}: {error}");
    }
    let text = include_str!("../../../deploy/duty.scm");
    assert_eq!(
        CoordinationSettings::parse("deploy/duty.scm", text).expect("the sample").config.voters,
        [0, 1, 2]
    );
}
