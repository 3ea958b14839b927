//! The program on loopback, against stand-ins.

mod help;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use help::*;

#[test]
fn answers_come_back_whole_and_in_any_order() {
    let w = World::start();
    let mut c = w.client();
    assert!(c.alive());
    c.ask(1, 0x77, 2_000);
    let first = w.cache.pull();
    let want = "PULL 0000000100000077 class=footage,key=0000000000000077,part=0,wait=";
    assert!(first.line.starts_with(want), "{}", first.line);
    assert_eq!(first.field("miss"), Some("parent-a"));
    assert_eq!((first.field("prio"), first.field("f")), (Some("1"), Some("collapse")));
    let wait: u64 = first.field("wait").and_then(|w| w.parse().ok()).expect("a time");
    assert!((1_500..2_000).contains(&wait), "{wait}");
    c.ask_with(2, 0x78, 2_000, &[("ver", "t9")]);
    let second = w.cache.pull();
    assert_ne!(first.connection, second.connection, "one body blocks those behind it");
    assert_eq!((first.field("mine"), second.field("mine")), (None, Some("t9")));
    second.answer("NOMOD", "how=HIT,entity=t9,issued=1", b"");
    assert_eq!(c.answer(), (2, Answer::Success(vec![], vec![("unchanged".into(), "1".into())])));
    let body: Vec<u8> = (0..240_000_u32).map(|i| (i * 7 % 251) as u8).collect();
    first.answer("ACK", "how=MISS,entity=t1,issued=1", &body);
    c.satisfied(1, &body);
    c.ask(3, 0x79, 2_000);
    let third = w.cache.pull();
    assert!([first.connection, second.connection].contains(&third.connection), "idle ones are used again");
    third.answer("ACK", "how=HIT,entity=t1,issued=1", b"");
    c.satisfied(3, b"");
    // The very tag of the client's copy is as good; a copy unchanged that it does not hold is no answer.
    c.ask_with(4, 0x7a, 2_000, &[("ver", "t4")]);
    w.cache.pull().answer("ACK", "how=HIT,entity=t4,issued=1", b"not sent");
    assert_eq!(c.answer(), (4, Answer::Success(vec![], vec![("unchanged".into(), "1".into())])));
    c.ask(5, 0x7b, 2_000);
    w.cache.pull().answer("NOMOD", "how=HIT,entity=t5,issued=1", b"");
    w.cache.pull().answer("ACK", "how=HIT,entity=t5,issued=1", b"whole");
    c.satisfied(5, b"whole");
    let counters = w.current_counters();
    assert_eq!((counters["satisfied"], counters["unchanged"], counters["links"]), (5, 2, 2));
    assert_eq!((counters["ok"], counters["error"]), (5, 1));
}

#[test]
fn each_answer_word_means_its_outcome() {
    let cases = [("NOENT", "miss"), ("AGAIN", "full"), ("EIO", "error"), ("STALE", "never_sent")];
    for (word, counter) in cases {
        let w = World::start();
        let mut c = w.client();
        c.ask(1, 0x77, 1_000);
        let first = w.cache.pull();
        first.answer(word, "-", b"");
        // A further send is the module's to make; whatever it asks is refused as well.
        let mut sends = 1;
        c.0.set_read_timeout(Some(Duration::from_millis(20))).expect("set");
        while c.0.peek(&mut [0]).is_err() {
            for node in [&w.cache, &w.parent] {
                if let Ok(told) = node.messages.try_recv() {
                    told.answer(word, "-", b"");
                    sends += 1;
                }
            }
            assert!(sends < 7, "{word}");
        }
        assert_eq!(c.assert_rejected(), 1, "{word}");
        assert_eq!(w.current_counters()[counter], sends, "{word}");
    }
}

#[test]
fn a_silent_node_costs_no_deadline() {
    let w = World::start();
    let mut c = w.client();
    let start = Instant::now();
    c.ask(1, 0x77, 500);
    let pull = w.cache.pull();
    assert_eq!(c.assert_rejected(), 1);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    assert_eq!(w.cache.next().line, format!("KILL {}", pull.name()));
    assert_eq!(w.cache.next().line, "closed", "a connection silent since the send is not used again");
    c.ask(2, 0x78, 500);
    assert_ne!(w.cache.pull().connection, pull.connection);
    let counters = w.current_counters();
    assert_eq!((counters["nacked"], counters["in_hand"]), (1, 1));
}

/// Clients that give up early leave less time than the way through the director takes: the answer is owed still.
#[test]
fn a_budget_that_is_over_at_once_gets_its_answer() {
    let w = World::start();
    let mut c = w.client();
    for (call, budget_ms) in [(1, 0), (2, 0), (3, 1), (4, 1)] {
        c.ask(call, 0x77, budget_ms);
        assert_eq!(c.assert_rejected(), call);
    }
    let counters = w.current_counters();
    assert_eq!((counters["nacked"], counters["unsent"]), (4, 0));
    w.cache.assert_no_message();
}

#[test]
fn a_cancelled_lookup_is_killed_and_its_late_answer_read_off() {
    let w = World::start();
    let mut c = w.client();
    c.ask(1, 0x77, 2_000);
    let first = w.cache.pull();
    c.write(b"\x93\x02\xadcancelRequest\x91\x01");
    assert_eq!(w.cache.next().line, format!("KILL {}", first.name()));
    first.answer("ACK", "how=HIT,entity=t1,issued=1", b"late");
    c.ask(2, 0x78, 2_000);
    let second = w.cache.pull();
    assert_eq!(second.connection, first.connection, "the connection goes on");
    second.answer("ACK", "how=HIT,entity=t1,issued=1", b"own");
    c.satisfied(2, b"own");
    // One that said nothing for longer than is usual may be stuck: it is not used again.
    c.ask(4, 0x7a, 4_000);
    let stuck = w.cache.pull();
    thread::sleep(Duration::from_millis(400));
    c.write(b"\x93\x02\xadcancelRequest\x91\x04");
    assert_eq!(w.cache.next().line, format!("KILL {}", stuck.name()));
    assert_eq!(w.cache.next().line, "closed");
    // A client that leaves gives all up.
    c.ask(3, 0x79, 2_000);
    let third = w.cache.pull();
    drop(c);
    assert_eq!(w.cache.next().line, format!("KILL {}", third.name()));
    let counters = w.current_counters();
    assert_eq!((counters["cancelled"], counters["satisfied"], counters["called_off"]), (3, 1, 3));
}

#[test]
fn a_node_that_breaks_off_or_babbles_loses_its_connection_alone() {
    type Fault = fn(&NodeMessage);
    let cases: [(&str, Fault); 7] = [
        ("nobody's answer", |t| t.write(b"0123456789abcdef ACK - x\r\n")),
        ("reset", |t| t.stream.shutdown(Shutdown::Both).expect("shut")),
        ("no answer", |t| t.write(b"what is this\r\n")),
        ("endless line", |t| t.write(&[b'x'; 5_000])),
        ("too long", |t| t.write(format!("{} ACK - 240001\r\n", t.name()).as_bytes())),
        ("wrong length", |t| t.write(format!("{} ACK - 2\r\nlonger\r\n", t.name()).as_bytes())),
        ("cut short", |t| {
            t.write(format!("{} ACK entity=t1 9\r\nhalf", t.name()).as_bytes());
            t.stream.shutdown(Shutdown::Both).expect("shut");
        }),
    ];
    for (name, fault) in cases {
        let w = World::start();
        let mut c = w.client();
        c.ask(1, 0x77, 2_000);
        let first = w.cache.pull();
        fault(&first);
        let again = w.cache.next_pull();
        assert_ne!(again.connection, first.connection, "{name}");
        again.answer("ACK", "how=HIT,entity=t1,issued=1", b"whole");
        c.satisfied(1, b"whole");
        assert_eq!(w.current_counters()["broken"], 1, "{name}");
    }
}

#[test]
fn a_connection_that_never_came_up_proves_that_nothing_ran() {
    // Nobody listens on the first; the second takes no more connections and says nothing.
    let silent = LateNode::start();
    let refusing = SocketAddr::from(([127, 0, 0, 1], 1));
    for (address, dial) in [(refusing, 0), (silent.address, 350)] {
        let w = World::with(|config| with_node_address(&config, "cache-a", address));
        let (mut c, start) = (w.client(), Instant::now());
        c.ask(1, 0x77, 2_000);
        assert!(w.client().alive(), "the desk waits for no connection");
        let pull = w.parent.pull();
        assert!(start.elapsed() >= Duration::from_millis(dial), "{address} {:?}", start.elapsed());
        assert_eq!(pull.field("miss"), Some("origin"));
        pull.answer("ACK", "how=HIT,entity=t1,issued=1", b"from the parent");
        c.satisfied(1, b"from the parent");
        assert_eq!(w.current_counters()["unconnected"], 1);
    }
}

#[test]
fn bad_clients_harm_themselves_alone() {
    // Caches enough that the module takes all that a client may open.
    let w = World::with(|config| {
        let cache = config.lines().find(|l| l.contains("cache-a")).expect("listed").to_owned();
        let more: String =
            ["b", "c", "d", "e"].map(|n| cache.replace("cache-a", &format!("cache-{n}"))).concat();
        config.replace(&cache, &(cache.clone() + &more))
    });
    let mut good = w.client();
    let garbage: [&[u8]; 3] =
        [b"GET / HTTP/1.1\r\n\r\n", &[0xc1], &[0x94, 0, 1, 0xc6, 0xff, 0xff, 0xff, 0xff]];
    for bytes in garbage {
        let mut bad = w.client();
        bad.write(bytes);
        bad.assert_closed();
    }
    let mut bad = w.client();
    bad.write(b"\x94\x00\x05\xa5other\x92\x80\xc4\x00");
    assert_eq!(bad.answer(), (5, Answer::Error("Failed".into(), vec![])));
    // A name that is open with another object; the same object under it is the client's own affair.
    let mut first = w.client();
    first.ask(9, 0x55, 3_000);
    bad.ask(9, 0x55, 3_000);
    bad.ask_with(8, 0x56, 3_000, &[("rid", "0000000900000055")]);
    assert_eq!(bad.answer(), (8, Answer::Error("Failed".into(), vec![])));
    // Again and again what can't be used: closed.
    let mut stubborn = w.client();
    let unfit: Vec<u8> =
        (1..=20).flat_map(|n| [&[0x94, 0, n], &b"\xa5other\x92\x80\xc4\x00"[..]].concat()).collect();
    stubborn.write(&unfit);
    stubborn.0.set_read_timeout(Some(LONG)).expect("set");
    let mut rest = Vec::new();
    let _ = stubborn.0.read_to_end(&mut rest);
    assert!(rest.len() < 20 * 12, "{}", rest.len());
    // Fields cut short, then nothing: others go on.
    bad.write(&[0x94, 0, 6, 0xa7]);
    assert!(good.alive());
    for call in 1..=32 {
        good.ask(call, u64::from(call), 3_000);
    }
    good.ask(33, 33, 3_000);
    assert_eq!(good.assert_rejected(), 33, "too many open");
    // The same number again: two answers could not be told apart.
    good.ask(32, 34, 3_000);
    good.assert_closed();
    for again in [&b"\x94\x00\x01\xa5alive\x91\x80"[..], b"\x94\x00\x01\xa5other\x91\x80"] {
        let mut c = w.client();
        c.ask(1, 0x99, 3_000);
        c.write(again);
        c.assert_closed();
    }
    assert!(w.client().alive());
    let counters = w.current_counters();
    assert_eq!((counters["cancelled"], counters["crowded"], counters["unfit"]), (34, 1, 9));
}

#[test]
fn half_messages_and_connections_are_bounded() {
    // Room for 2 MB of bodies and for 29 clients.
    let w = World::with(|c| {
        c.replace("\"memory_mb\": 192", "\"memory_mb\": 8").replace("\"sockets\": 1024", "\"sockets\": 64")
    });
    let mut good = w.client();
    assert!(good.alive());
    let half =
        [&[0x94, 0, 1, 0xa7][..], b"footage", &[0x92, 0x80, 0xc6, 0, 3, 0xa9, 0x80], &[0; 200_000]].concat();
    let mut halves: Vec<Client> = (0..20).map(|_| w.client()).collect();
    // Those for which there is no room are closed under the writer.
    halves.iter_mut().for_each(|c| drop(c.0.write_all(&half)));
    let start = Instant::now();
    let closed = loop {
        let closed = w.current_counters()["bad_messages"];
        if closed >= 12 || start.elapsed() > LONG {
            break closed;
        }
        thread::sleep(Duration::from_millis(5));
    };
    assert!((12..20).contains(&closed), "{closed} of 20 closed");
    drop(halves);
    // Those that say nothing, or half a message, make room for others, and end by themselves before long.
    good.ask(1, 0x77, 4_000);
    let open = w.cache.pull();
    let start = Instant::now();
    let mut crowd: Vec<Client> = (0..60).map(|_| w.client()).collect();
    crowd.iter_mut().skip(30).for_each(|c| c.write(&[0x94, 0, 1]));
    // One that was answered, and then says half of the next in the same breath.
    let mut halfway = w.client();
    halfway.write(b"\x94\x00\xcc\xff\xa5alive\x91\x80\x94\x00");
    assert_eq!(halfway.answer(), (255, Answer::Health(true)));
    for call in 2..=40 {
        let mut new = w.client();
        new.ask(call, u64::from(call), 2_000);
        w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"new");
        new.satisfied(call, b"new");
    }
    crowd.iter_mut().for_each(Client::assert_closed);
    halfway.assert_closed();
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
    good.satisfied(1, b"served");
    let counters = w.current_counters();
    assert!(counters["made_room"] + counters["idle_closed"] >= 60, "{counters:?}");
    assert_eq!(counters["turned_away"], 0);
    assert!(counters["threads"] < 20, "none for a client's connection: {}", counters["threads"]);
}

#[test]
fn a_client_that_does_not_read_delays_nobody() {
    let w = World::start();
    let (mut slow, mut quick) = (w.client(), w.client());
    let body = vec![7; 240_000];
    for call in 1..=30 {
        slow.ask(call, u64::from(call), 3_000);
        w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", &body);
    }
    let start = Instant::now();
    quick.ask(1, 0x99, 2_000);
    w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"quick");
    quick.satisfied(1, b"quick");
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    // What it takes in time is whole, in whatever order it comes.
    for _ in 0..2 {
        assert!(slow.answer().1 == Answer::Success(body.clone(), vec![]));
    }
}

#[test]
fn the_feed_is_taken_up_where_it_broke_off() {
    let w = World::start();
    let (last, stream) = w.feed.call();
    assert_eq!(last, 1, "after what was known at the start");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let purge = |n: u64| format!("{{\"n\":{n},\"purge\":{{\"group\":17,\"at\":{}}}}}", now.as_millis());
    tell(&stream, 2, &purge(2));
    tell(&stream, 2, &purge(2));
    // Half an event, ended by the next line: it is asked for again, and twice the same is no half one.
    (&stream).write_all(b"id: 3\ndata: {\"n\":3,\"pur\n\n").expect("written");
    let (last, stream) = w.feed.call();
    assert_eq!(last, 2);
    tell(&stream, 3, "{\"n\":3,\"odd\":{}}");
    w.logged("feed skipped n=3");
    let mut c = w.client();
    c.ask(1, 0x77, 2_000);
    let pull = w.cache.pull();
    let within: u64 = pull.field("within").and_then(|w| w.parse().ok()).expect("an age");
    assert!(within <= now.as_millis() as u64, "no copy from before the purge: {within}");
    pull.answer("ACK", "how=MISS,entity=t1,issued=1", b"new");
    c.satisfied(1, b"new");
    // Number 4 is missing: it is asked for.
    tell(&stream, 5, &purge(5));
    let (last, stream) = w.feed.call();
    assert_eq!(last, 3);
    tell(&stream, 4, &member(4, "cache-a", w.cache.address, "draining"));
    drop(stream);
    let (last, stream) = w.feed.call();
    assert_eq!(last, 4);
    c.ask(2, 0x78, 2_000);
    assert!(w.parent.pull().line.contains("key=0000000000000078"), "nothing goes to what drains");
    w.cache.assert_no_message();
    // The same gap twice: the missing ones are not to be had.
    tell(&stream, 6, &purge(6));
    let (last, stream) = w.feed.call();
    assert_eq!(last, 4);
    tell(&stream, 6, &purge(6));
    // A break in the middle of an event leaves nothing of it.
    (&stream).write_all(b"id: 7\ndata: {\"n\":7,\"purge\"").expect("written");
    drop(stream);
    let (last, stream) = w.feed.call();
    assert_eq!(last, 6);
    tell(&stream, 7, &purge(7));
    w.told(5);
    let counters = w.current_counters();
    assert_eq!((counters["facts"], counters["feed_gaps"], counters["feed_skipped"]), (5, 3, 1));
}

#[test]
fn the_feed_is_called_again_after_errors_and_silence() {
    let w = World::start();
    w.feed.answered("HTTP/1.1 503 Busy\r\n\r\n");
    w.feed.answered("what is this\r\n\r\n");
    // In chunks that are cut anywhere.
    let (_, stream) = w.feed.answered("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let event = format!("id: 2\r\ndata: {}\r\n\r\n", member(2, "cache-a", w.cache.address, "draining"));
    let (one, two) = event.split_at(30);
    for part in [one, two] {
        let cut = format!("{:x}\r\n{part}\r\n", part.len());
        for bytes in cut.as_bytes().chunks(7) {
            (&stream).write_all(bytes).expect("written");
        }
    }
    w.told(2);
    // Silence, on a connection that is up: the link is dead. A program held to part of a core, here by signals
    // that stop and continue it, has its reads interrupted: they must not start the time anew.
    let start = Instant::now();
    let process = w.child.id();
    let held = thread::spawn(move || {
        while start.elapsed() < Duration::from_millis(3_500) {
            ["STOP", "CONT"].iter().for_each(|name| signal(process, name));
            thread::sleep(Duration::from_millis(50));
        }
    });
    let (last, stream) = w.feed.call();
    let took = start.elapsed();
    held.join().expect("ends");
    assert_eq!(last, 2);
    assert!((1_900..3_300).contains(&took.as_millis()), "{took:?}");
    tell(&stream, 3, &member(3, "cache-a", w.cache.address, "ready"));
    w.told(3);
}

#[test]
fn a_new_configuration_moves_the_feed() {
    let mut w = World::start();
    let (last, old) = w.feed.call();
    assert_eq!(last, 1);
    tell(&old, 2, &member(2, "cache-a", w.cache.address, "draining"));
    w.told(2);
    // A faulty file changes nothing.
    let text = std::fs::read_to_string(&w.config).expect("read");
    std::fs::write(&w.config, text.replace("\"feed\"", "\"fed\"")).expect("written");
    w.signal("HUP");
    w.logged("reload failed, the old configuration stays: feed: missing");
    tell(&old, 3, &member(3, "cache-a", w.cache.address, "ready"));
    w.told(3);
    // The new file knows more; what was known here already is not told again.
    let feed = Feed(TcpListener::bind("127.0.0.1:0").expect("bound"));
    let at = feed.0.local_addr().expect("bound").to_string();
    let known: Vec<String> = (1..=4).map(|n| member(n, "cache-a", w.cache.address, "draining")).collect();
    let (from, to) =
        (text.find("\"events\": [").expect("known") + 10, text.find("\n  \"settings\"").expect("set"));
    let new = format!("{}[{}]}},{}", &text[..from], known.join(","), &text[to..]);
    let new = new.replace(&w.feed.0.local_addr().expect("bound").to_string(), &at);
    std::fs::write(&w.config, new.replace("\"cores\": 1.0", "\"cores\": 0.5")).expect("written");
    let start = Instant::now();
    w.signal("HUP");
    let (last, stream) = feed.call();
    assert!(start.elapsed() < Duration::from_secs(1), "at once, not when the old one ends");
    assert_eq!(last, 4, "the numbers go on");
    w.told(4);
    let mut c = w.client();
    c.ask(1, 0x77, 2_000);
    w.parent.pull().answer("ACK", "how=MISS,entity=t1,issued=1", b"not from the one that drains");
    c.satisfied(1, b"not from the one that drains");
    tell(&stream, 5, &member(5, "cache-a", w.cache.address, "ready"));
    w.told(5);
    assert!(w.child.try_wait().expect("asked").is_none());
    w.feed = feed;
}

#[test]
fn two_lookups_of_one_name_share_no_connection() {
    // Four connections to a node at most, all of them in use.
    let w = World::with(|config| config.replace("\"sockets\": 1024", "\"sockets\": 64"));
    let (mut one, mut two) = (w.client(), w.client());
    let pulls: Vec<NodeMessage> = (1..=4)
        .map(|call| {
            one.ask(call, u64::from(call), 2_000);
            w.cache.pull()
        })
        .collect();
    two.ask(4, 4, 2_000);
    let again = w.cache.pull();
    assert_eq!(again.name(), pulls[3].name());
    assert_ne!(again.connection, pulls[3].connection);
    pulls[3].answer("ACK", "how=HIT,entity=t1,issued=1", b"of the first");
    one.satisfied(4, b"of the first");
    again.answer("ACK", "how=HIT,entity=t1,issued=1", b"of the second");
    two.satisfied(4, b"of the second");
}

#[test]
fn a_new_node_at_an_old_address_gets_no_old_connection() {
    let w = World::start();
    let (_, stream) = w.feed.call();
    let mut c = w.client();
    c.ask(1, 0x77, 2_000);
    let old = w.cache.pull();
    old.answer("ACK", "how=HIT,entity=t1,issued=1", b"old");
    c.satisfied(1, b"old");
    tell(&stream, 2, &member(2, "cache-a", w.cache.address, "gone"));
    assert_eq!(w.cache.next().line, "closed");
    tell(&stream, 3, &member(3, "cache-b", w.cache.address, "ready"));
    w.told(3);
    c.ask(2, 0x78, 2_000);
    let new = w.cache.pull();
    assert_ne!(new.connection, old.connection);
    new.answer("ACK", "how=HIT,entity=t1,issued=1", b"new");
    c.satisfied(2, b"new");
}

#[test]
fn a_signal_to_stop_lets_all_that_is_open_end() {
    let mut w = World::start();
    let mut c = w.client();
    c.ask(1, 0x77, 2_500);
    let open = w.cache.pull();
    w.signal("TERM");
    w.logged("stopping in_flight=1");
    let mut late = w.client();
    assert!(!late.alive(), "the front need not send here any more");
    late.ask(2, 0x78, 2_000);
    w.cache.pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"late");
    late.satisfied(2, b"late");
    thread::sleep(Duration::from_millis(900));
    assert_eq!(w.child.try_wait().expect("asked"), None, "a lookup is open");
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"open");
    c.satisfied(1, b"open");
    c.assert_closed();
    let counters = w.counters();
    assert_eq!((counters["taken"], counters["satisfied"], counters["in_hand"]), (2, 2, 0));
    assert!(w.child.wait().expect("ends").success());
}

#[test]
fn a_start_that_cannot_be_ends_with_one_line() {
    let path = std::env::temp_dir().join(format!("sablecross-{}-bad.json", std::process::id()));
    std::fs::write(&path, SAMPLE.replace("\"snapshot\": true", "\"snapshot\": 7")).expect("written");
    let cases = [
        (None, "NODE_CONFIG: not set"),
        (Some("/nowhere".into()), "NODE_CONFIG: /nowhere"),
        (Some(path.clone()), "known.events: event 1"),
    ];
    for (config, words) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sablecross-director"));
        command.env_remove("NODE_CONFIG");
        config.map(|c| command.env("NODE_CONFIG", c));
        let out = command.output().expect("runs");
        let err = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success() && err.contains(words) && err.lines().count() == 1, "{words}: {err}");
    }
    std::fs::remove_file(path).expect("removed");
}

/// A configuration may name further feeds with the same events: where the first is down, one of them is followed, from the same number.
#[test]
fn another_feed_is_followed_where_the_first_is_down() {
    let other = Feed(TcpListener::bind("127.0.0.1:0").expect("bound"));
    let at = other.0.local_addr().expect("bound");
    let w = World::with(|c| c.replacen("\"feed\"", &format!("\"feeds\": [\"{at}\"], \"feed\""), 1));
    let (last, stream) = w.feed.call();
    assert_eq!(last, 1);
    let purge = |n: u64| format!("{{\"n\":{n},\"purge\":{{\"group\":17,\"at\":1}}}}");
    tell(&stream, 2, &purge(2));
    w.told(2);
    // Its end alone is none of its faults: it is called again, once.
    drop(stream);
    let (last, stream) = w.feed.call();
    assert_eq!(last, 2);
    drop(stream);
    w.feed.answered("HTTP/1.1 503 Busy\r\n\r\n");
    let (last, stream) = other.call();
    assert_eq!(last, 2);
    w.logged("feed over after=2 why=answer 503");
    tell(&stream, 3, &purge(3));
    w.told(3);
}
