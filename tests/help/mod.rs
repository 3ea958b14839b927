//! Builders shared by the tests.

use sablecross::*;

pub const MS: Ns = 1_000_000;
pub const SEC: Ns = 1_000 * MS;
pub const START: Ns = 1_000 * SEC;
pub const ORIGIN: usize = 90;

pub fn kind(effect: Effect) -> ObjectKind {
    ObjectKind {
        latency_budget: 400 * MS,
        budget_stretch: Some(1.5),
        utility: 1.0,
        effect,
        fresh: 0,
        grace: 0,
        parts: false,
        written: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        zone: 2,
        number: 0,
        directors: vec![0, 0, 1, 1],
        object_kinds: vec![kind(Effect::Idempotent)],
        parent_kind: Some(1),
        origin_kind: 2,
        follow_list: false,
        cancels: true,
        second_copies: true,
        pauses: true,
        longest_pause: 2 * SEC,
        most_sends: 6,
        cold_from: 0.2,
        warm_after: 20 * SEC,
        fall_multiple: 3.0,
        parent_cold_from: 0.1,
        parent_warm_after: 20 * SEC,
        parent_fall_multiple: 2.0,
        stream_kb_per_s: 1_000.0,
        direct: true,
        joins: true,
        purge_cleared: 6 * SEC,
        tick: 2 * MS,
    }
}

pub fn line(node: usize, machine: usize) -> Listed {
    let zone = if machine == 0 { 2 } else { machine - 1 };
    let rank = 1_000 + node as u64 * 37;
    Listed { node, rank, zone, machine, cell: node / 2, started: 0, state: State::Ready, withheld: 0 }
}

/// Caches 0.., parents 50.., and the origin.
pub fn list(caches: usize, parents: usize) -> Vec<Listed> {
    let caches = (0..caches).map(|n| line(n, 0));
    caches.chain((50..50 + parents).map(|n| line(n, 1))).chain([line(ORIGIN, 2)]).collect()
}

pub fn director(set: Settings, list: &[Listed]) -> Choice {
    let mut c = Choice::new(set, 7, START);
    c.listed(START, list, true);
    c
}

/// Directors that share one location.
pub fn team(size: usize, list: &[Listed]) -> Vec<Choice> {
    let of = |number| Settings { number, directors: vec![0, 0, size], ..settings() };
    (0..size).map(|number| director(of(number), list)).collect()
}

pub fn lookup(object: u64, now: Ns) -> Lookup {
    Lookup {
        object,
        part: 0,
        group: 3,
        kind: 0,
        size_kb: 100.0,
        arrived: now,
        deadline: now + 4 * SEC,
        repeat: false,
        write: false,
        sends: Vec::new(),
    }
}

pub fn sent(send: &Send, at: Ns) -> Sent {
    Sent { node: send.node, source: send.source, at, result: None }
}

/// Routes a lookup and notes the send, if there is one.
pub fn go(c: &mut Choice, now: Ns, lk: &mut Lookup) -> Route {
    let route = c.route(now, lk);
    if let Route::Send(s) = &route {
        lk.sends.push(sent(s, now));
    }
    route
}

/// The outcome of the last send.
pub fn end(c: &mut Choice, now: Ns, lk: &mut Lookup, outcome: Outcome) -> Next {
    let shot = lk.sends.len() - 1;
    lk.sends[shot].result = Some(outcome);
    c.after(now, lk, shot, now - lk.sends[shot].at, None)
}

/// Looks an object up and ends its first send.
pub fn look(c: &mut Choice, now: Ns, object: u64, took: Ns, outcome: Outcome) -> Option<Send> {
    let mut lk = lookup(object, now);
    let Route::Send(s) = go(c, now, &mut lk) else { return None };
    end(c, now + took, &mut lk, outcome);
    Some(s)
}

pub fn mode_lines(c: &mut Choice, word: &str) -> usize {
    c.notes().iter().filter(|l| l.starts_with(word)).count()
}
