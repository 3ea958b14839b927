//! A bad client that sends the id of an open request with a different object, beside a usual client.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::common::*;

const CACHES: usize = 4;
const SERVICE_TIME: f64 = 0.4;
const ROUNDS: usize = 5;

pub fn run() -> ! {
    let feed = Feed::start();
    let mut nodes = Vec::new();
    for number in 0..CACHES + 2 {
        let listener = listen();
        let address = address_of(&listener);
        let name = match number {
            n if n < CACHES => format!("box-{n}"),
            n if n == CACHES => "parent-1".to_owned(),
            _ => "origin".to_owned(),
        };
        let own_name = name.clone();
        let killed: Arc<Mutex<HashSet<(u32, String)>>> = Arc::default();
        serve_node(listener, move |input, connection| {
            let pull = match input {
                NodeInput::Pull(pull) => pull,
                NodeInput::Kill(id) => {
                    record(&format!("{own_name} gives {id} up"));
                    if let Ok(mut killed) = killed.lock() {
                        killed.insert((connection.number, id));
                    }
                    return;
                }
                _ => return,
            };
            let killed = Arc::clone(&killed);
            record(&format!("{own_name} runs {} key={}", pull.id, pull.field("key")));
            thread::spawn(move || {
                sleep(SERVICE_TIME);
                let was_killed = (pull.connection.number, pull.id.clone());
                if killed.lock().is_ok_and(|mut killed| killed.remove(&was_killed)) {
                    return;
                }
                let fields = format!("how=HIT,entity=e{},issued={}", &pull.field("key")[8..], unix_ms());
                let body = format!("the bytes of {}", pull.field("key"));
                pull.connection.answer(&pull.id, "ACK", &fields, body.as_bytes());
            });
        });
        nodes.push((name, address));
    }
    let list: Vec<Listed> = nodes
        .iter()
        .enumerate()
        .map(|(number, (name, address))| Listed {
            name,
            address: *address,
            zone: if number < CACHES { "edge" } else { "hub" },
            kind: match number {
                n if n < CACHES => "small",
                n if n == CACHES => "parent",
                _ => "origin",
            },
            group: number as u32,
            status: "ready",
            since_ms: 0,
        })
        .collect();
    feed.push_list(&list, true);
    let at = free_address();
    let director =
        Director::start("n1", at, &config("n1", at, &feed, &settings(&Settings::default()), 300_000.0));
    wait_until_alive(at);

    let answers: Arc<Mutex<HashMap<u32, Answer>>> = Arc::default();
    let kept = Arc::clone(&answers);
    let client = Client::connect(at, move |call, answer| {
        record(&format!("call {call}: {}", answer.word()));
        if let Ok(mut kept) = kept.lock() {
            kept.insert(call, answer);
        }
    });
    let Some(client) = client else { cannot_run("the client can't connect") };
    let send = |rid: &str, object: &str, why: &str| {
        let fields = [
            ("rid", rid),
            ("budget", "2500"),
            ("obj", object),
            ("piece", "0"),
            ("lot", "3"),
            ("mem", "80.0"),
        ];
        let call = client.call("readings", &fields, b"-").unwrap_or(0);
        record(&format!("call {call}: id {rid}, object {object}: {why}"));
        call
    };
    let answered = |call: u32| answers.lock().ok().and_then(|answers| answers.get(&call).cloned());
    let mut rng = Rng::new(unix_ms());
    let (mut broken, mut checked) = (Vec::new(), 0);
    for _ in 0..ROUNDS {
        let (rid, own, other) = (new_rid(), format!("{:016x}", rng.next()), format!("{:016x}", rng.next()));
        let first = send(&rid, &own, "first");
        sleep(0.3);
        let again = send(&rid, &own, "the same again, while the first is open");
        sleep(0.2);
        if answered(first).is_none() || answered(again).is_some() {
            cannot_run("the first request should be answered now, and the second open");
        }
        let third = if has_trouble() {
            send(&rid, &other, "the id of the open second request, with a different object")
        } else {
            send(&new_rid(), &other, "a new id")
        };
        sleep(0.05);
        let was_open = answered(again).is_none();
        sleep(3.0);
        let answer = answered(third);
        checked += 1;
        let is_served = matches!(answer, Some(Answer::Served { .. }));
        if has_trouble() && was_open && is_served {
            broken.push(format!(
                "call {third} was served, with the id of call {again}, which was open with another object"
            ));
        }
        if !has_trouble() && !is_served {
            broken.push(format!("call {third} of a usual client was not served"));
        }
        if let Some(Answer::Closed) = answered(0) {
            cannot_run("the director ended the connection, as it may");
        }
    }
    director.record_log(5);
    match broken.first() {
        None => finish(0, &format!("HELD: {checked} rounds")),
        Some(first) => {
            finish(1, &format!("BROKEN: {} of {checked} rounds; the first: {first}", broken.len()))
        }
    }
}
