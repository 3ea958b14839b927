//! Readers and relays that are away for longer than a purge binds, and for less.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;

use crate::common::{Got, Load, PATIENCE, Published, Reader, Tier, complete, ms, purge, until};
use serde_json::Value;

/// Purges bind for a second, and are kept for half of one more.
const SHORT: &str = "(cleared-ms . 500) (held-ms . 500) (slack-ms . 500)";

/// A change of the list: this one is there, or is gone.
fn change(name: &str, status: &str) -> String {
    format!(
        r#"{{"members":{{"index":2,"snapshot":false,"endpoints":[{{"name":"{name}","address":"127.0.0.1:9","zone":"e","type":"s","group":0,"status":"{status}","weight":1,"since_ms":0}}]}}}}"#
    )
}

/// The names of the list as one knows it that was told these events.
fn names(got: &Got) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for (_, event) in &got.events {
        let event: Value = serde_json::from_str(event).expect("an event");
        if event["members"]["snapshot"] == true {
            names.clear();
        }
        for e in event["members"]["endpoints"].as_array().into_iter().flatten() {
            let name = e["name"].as_str().expect("a name").to_owned();
            if e["status"] == "gone" {
                names.remove(&name)
            } else {
                names.insert(name)
            };
        }
    }
    names
}

/// A reader that was away for longer than purges bind: it has what was told before, then the whole list, then every event after that.
fn jumped(reader: &Reader, published: &Published, before: u64, bound: u64, tier: &Tier) {
    let last = *published.0.keys().last().expect("events");
    assert!(until(PATIENCE, || reader.last() >= last), "{} of {last}\n{}", reader.last(), tier.logs());
    let got = reader.got();
    let numbers: Vec<u64> = got.events.iter().map(|(n, _)| *n).collect();
    let jumps: Vec<usize> = (1..numbers.len()).filter(|i| numbers[*i] != numbers[i - 1] + 1).collect();
    assert_eq!(jumps.len(), 1, "{numbers:?}\n{}", tier.logs());
    let (n, event) = &got.events[jumps[0]];
    assert!(event.contains("\"snapshot\":true"), "{event}");
    // What binds still is told, and of what is over the most part is not.
    assert!(*n < bound, "the list stands for events up to {n}, and from {bound} on they bound still");
    assert!(*n > before + 20, "{n} {before}");
    for (number, event) in published.0.range(n + 1..) {
        let (_, told) = got.events.iter().find(|(m, _)| m == number).expect("told");
        assert_eq!(*told, format!("{{\"n\":{number},{}", &event[1..]));
    }
}

#[test]
fn readers_away_for_longer_and_for_less() {
    let tier = Tier::start(41, 3, 1, SHORT);
    let mut published = tier.listed();
    let mut publisher = tier.publisher();
    let mut readers = tier.readers(8);
    let late = readers.pop().expect("a reader");
    let load = Load::start(tier.publisher(), 1, ms(10));
    assert!(until(PATIENCE, || late.last() > 0));
    late.goes(true);
    readers[0].goes(true);
    sleep(ms(300));
    let before = late.last();
    published.tell(&mut publisher, "m1", &change("m1", "ready"));
    sleep(ms(400));
    readers[0].goes(false);
    published.tell(&mut publisher, "n", &change("n", "gone"));
    sleep(ms(2_800));
    published.tell(&mut publisher, "m2", &change("m2", "ready"));
    let bound = published.tell(&mut publisher, "p", &purge(9));
    late.goes(false);
    sleep(ms(500));
    published.0.extend(load.over().0);
    jumped(&late, &published, before, bound, &tier);
    // Those that were there all the time, or away for less, have all.
    complete(&readers, &published, &tier);
    let list = BTreeSet::from(["m1".into(), "m2".into()]);
    assert_eq!(names(&late.got()), list);
    assert!(readers.iter().all(|r| names(&r.got()) == list));
}

/// A relay is cut from all others, both ways, with its reader: for less than purges bind, then for longer. Healed, both have what
/// binds and the list as it stands.
#[test]
fn region_cut() {
    let mut tier = Tier::new(42, 3, 1, SHORT);
    let holds: Vec<_> = (0..3).map(|to| tier.link(3, to)).collect();
    let cut = |on: bool| {
        for h in &holds {
            h.to.store(on, Ordering::Relaxed);
            h.from.store(on, Ordering::Relaxed);
        }
    };
    (0..4).for_each(|n| tier.begin(n));
    let mut published = tier.listed();
    let mut publisher = tier.publisher();
    let inside = [Reader::start(tier.ip(1), tier.at(3), &[])];
    let load = Load::start(tier.publisher(), 1, ms(10));
    assert!(until(PATIENCE, || inside[0].last() > 0), "{}", tier.logs());
    cut(true);
    sleep(ms(500));
    cut(false);
    let n = published.tell(&mut publisher, "healed", &purge(3));
    assert!(until(PATIENCE, || inside[0].last() >= n), "{}", tier.logs());
    complete(&inside, &published, &tier);
    cut(true);
    sleep(ms(300));
    let before = inside[0].last();
    published.tell(&mut publisher, "m1", &change("m1", "ready"));
    sleep(ms(3_500));
    let bound = published.tell(&mut publisher, "p", &purge(9));
    cut(false);
    sleep(ms(500));
    published.0.extend(load.over().0);
    jumped(&inside[0], &published, before, bound, &tier);
    assert_eq!(names(&inside[0].got()), BTreeSet::from(["m1".into(), "n".into()]));
    assert!(tier.log(3).contains("the complete list is taken"), "{}", tier.log(3));
}

/// The whole list is larger than a batch by far, and more is published all the time: it is told once, then what follows it.
#[test]
fn large_list_once() {
    let tier = Tier::start(43, 3, 1, &format!("{SHORT} (batch-bytes . 2048)"));
    let mut published = tier.listed();
    let mut publisher = tier.publisher();
    // They are there from the beginning, so that what follows is all they can be told late.
    let readers = tier.readers(4);
    let late = [tier.reader(11, 0), tier.reader(12, 3)];
    assert!(until(PATIENCE, || late.iter().chain(&readers).all(|r| r.last() > 0)), "{}", tier.logs());
    for i in 0..300 {
        published.tell(&mut publisher, &format!("l{i}"), &change(&format!("cache-{i}"), "ready"));
    }
    let load = Load::start(tier.publisher(), 1, ms(10));
    let all = *published.0.keys().last().expect("events");
    assert!(until(PATIENCE, || late.iter().all(|r| r.last() >= all)), "{}", tier.logs());
    late.iter().for_each(|r| r.goes(true));
    sleep(ms(300));
    let before: Vec<u64> = late.iter().map(Reader::last).collect();
    sleep(ms(3_500));
    let bound = published.tell(&mut publisher, "p", &purge(9));
    late.iter().for_each(|r| r.goes(false));
    // For longer than purges bind.
    sleep(ms(2_500));
    published.0.extend(load.over().0);
    for (reader, before) in late.iter().zip(before) {
        jumped(reader, &published, before, bound, &tier);
        assert_eq!(names(&reader.got()).len(), 301);
    }
}
