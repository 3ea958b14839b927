//! Warming of fresh caches by one owner: what the fleet asks for most and what belongs to a cache is fetched into it, one object at
//! a time and within a part of what it bears.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Ns;

/// A part of an object that is wanted much.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Want {
    pub object: u64,
    pub part: u32,
    /// The object kind by its number.
    #[serde(rename = "kind")]
    pub kind: u16,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Requests a second that a warm cache bears, and the part of what a cold one bears that warming may take.
    pub bears: f64,
    pub part: f64,
    /// A cache begins at this part of what it bears, and is warm after this time.
    pub from: f64,
    pub after: Ns,
    /// A request without an answer is over after this.
    pub patience: Ns,
    /// Objects that a cache is warmed with at most.
    pub most: usize,
}

/// How a request of warming ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Fetched,
    /// The cache, or where it fills from, is busy or in trouble: it is left alone for longer each time.
    Held,
    /// A newer owner warms it: nothing more.
    Old,
}

#[derive(Clone, Debug, Default)]
struct Fresh {
    since: Ns,
    todo: VecDeque<Want>,
    done: BTreeSet<Want>,
    due: Ns,
    out: Option<(Want, Ns)>,
    held: u32,
}

/// Each time that a cache was busy its pause doubles, up to this many times.
const MOST_HELD: u32 = 6;

#[derive(Clone, Debug)]
pub struct Warming {
    pace: Pace,
    boxes: BTreeMap<u64, Fresh>,
    fetched: u64,
    stopped: bool,
}

impl Warming {
    pub fn new(pace: Pace) -> Warming {
        Warming { pace, boxes: BTreeMap::new(), fetched: 0, stopped: false }
    }

    pub fn fetched(&self) -> u64 {
        self.fetched
    }

    /// Caches that are cold still, each with when it began; those that are named no more are left alone.
    pub fn listed(&mut self, now: Ns, fresh: &BTreeMap<u64, Ns>) {
        self.boxes.retain(|b, f| fresh.get(b) == Some(&f.since));
        for (b, since) in fresh.iter().filter(|(_, since)| **since > 0 && now < **since + self.pace.after) {
            self.boxes.entry(*b).or_insert_with(|| Fresh { since: *since, due: now, ..Fresh::default() });
        }
    }

    /// The caches that are being warmed.
    pub fn boxes(&self) -> impl Iterator<Item = u64> + '_ {
        self.boxes.keys().copied()
    }

    /// What belongs to a cache of what is wanted most, the most first.
    pub fn wants(&mut self, of: u64, wants: &[Want]) {
        let most = self.pace.most;
        if let Some(f) = self.boxes.get_mut(&of) {
            let done = &f.done;
            let left = most.saturating_sub(done.len());
            f.todo = wants.iter().copied().filter(|w| !done.contains(w)).take(left).collect();
        }
    }

    fn warmth(&self, since: Ns, now: Ns) -> f64 {
        let age = now.saturating_sub(since) as f64 / self.pace.after.max(1) as f64;
        (self.pace.from + (1.0 - self.pace.from) * age).clamp(1e-3, 1.0)
    }

    /// What is to be fetched now, and by which cache: one object at a time each.
    pub fn due(&mut self, now: Ns) -> Vec<(u64, Want)> {
        let pace = self.pace;
        if self.stopped {
            return Vec::new();
        }
        self.boxes.retain(|_, f| now < f.since + pace.after);
        let mut due = Vec::new();
        for (b, f) in &mut self.boxes {
            if f.out.is_some_and(|(_, at)| now >= at + pace.patience) {
                f.out = None;
                f.held = (f.held + 1).min(MOST_HELD);
                f.due = now + pace.patience * (1 << f.held);
            }
            if f.out.is_none()
                && now >= f.due
                && let Some(want) = f.todo.pop_front()
            {
                f.out = Some((want, now));
                f.done.insert(want);
                due.push((*b, want));
            }
        }
        due
    }

    pub fn next(&self) -> Ns {
        let at = |f: &Fresh| match f.out {
            Some((_, at)) => at + self.pace.patience,
            None if f.todo.is_empty() => Ns::MAX,
            None => f.due,
        };
        if self.stopped { Ns::MAX } else { self.boxes.values().map(at).min().unwrap_or(Ns::MAX) }
    }

    pub fn ended(&mut self, now: Ns, of: u64, how: Ended) {
        if how == Ended::Old {
            self.stopped = true;
        }
        let Some(f) = self.boxes.get(&of) else { return };
        let a_second = self.pace.bears * self.pace.part * self.warmth(f.since, now);
        let gap = (1e9 / a_second.max(1e-3)) as Ns;
        let patience = self.pace.patience;
        let Some(f) = self.boxes.get_mut(&of).filter(|f| f.out.is_some()) else { return };
        let began = f.out.take().map_or(now, |(_, at)| at);
        match how {
            Ended::Fetched => {
                self.fetched += 1;
                f.held = 0;
                // An answer that took longer than its share of time is a cache that is busy: the next one waits as long again.
                f.due = (began + gap).max(now + (now - began).min(gap));
            }
            Ended::Held | Ended::Old => {
                f.held = (f.held + 1).min(MOST_HELD);
                f.due = now + patience * (1 << f.held);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEC: Ns = 1_000_000_000;
    const PACE: Pace =
        Pace { bears: 40.0, part: 0.25, from: 0.25, after: 10 * SEC, patience: SEC / 2, most: 100 };

    fn wants(n: u64) -> Vec<Want> {
        (0..n).map(|object| Want { object, part: 0, kind: 0 }).collect()
    }

    /// Answers each request after `took`; how many there were in each second, by cache 7.
    fn run(w: &mut Warming, seconds: u64, took: Ns, how: impl Fn(u64) -> Ended) -> Vec<usize> {
        let mut came = vec![0; seconds as usize];
        let (mut now, mut out, mut n) = (100 * SEC, None, 0);
        while now < (100 + seconds) * SEC {
            now += SEC / 1_000;
            if out.is_some_and(|at| now >= at + took) {
                out = None;
                n += 1;
                w.ended(now, 7, how(n));
            }
            for _ in w.due(now) {
                assert!(out.is_none() || took > PACE.patience, "one at a time");
                out = Some(now);
                came[((now / SEC) - 100) as usize] += 1;
            }
        }
        came
    }

    #[test]
    fn a_cold_cache_gets_a_part_of_what_it_bears_and_no_more_once_it_is_warm() {
        let mut w = Warming::new(PACE);
        w.listed(100 * SEC, &[(7, 100 * SEC), (8, 0), (9, 80 * SEC)].into());
        assert_eq!(w.boxes().collect::<Vec<_>>(), [7], "neither one that runs for long nor one that is warm");
        w.wants(7, &wants(1_000));
        let came = run(&mut w, 14, SEC / 50, |_| Ended::Fetched);
        // A quarter of 40 a second at a quarter of its warmth, then rising.
        for (second, n) in came.iter().enumerate() {
            let warmth = (0.25 + 0.075 * (second as f64 + 1.0)).min(1.0);
            assert!(*n as f64 <= 10.0 * warmth + 1.0, "second {second}: {n}");
        }
        assert!(came[8] > 2 * came[0] && came[0] >= 2, "{came:?}");
        assert_eq!(came[10..], [0; 4], "it is warm");
    }

    #[test]
    fn a_busy_cache_is_left_alone_for_longer_each_time() {
        let mut w = Warming::new(PACE);
        w.listed(100 * SEC, &[(7, 100 * SEC)].into());
        w.wants(7, &wants(1_000));
        let came: usize = run(&mut w, 9, SEC / 50, |_| Ended::Held).iter().sum();
        assert!(came <= 4, "{came}");
        // One that never answers: the same.
        let mut w = Warming::new(PACE);
        w.listed(100 * SEC, &[(7, 100 * SEC)].into());
        w.wants(7, &wants(1_000));
        let came: usize = run(&mut w, 9, 50 * SEC, |_| Ended::Fetched).iter().sum();
        assert!(came <= 4, "{came}");
    }

    #[test]
    fn an_old_owner_stops_and_nothing_is_fetched_twice() {
        let mut w = Warming::new(PACE);
        w.listed(100 * SEC, &[(7, 100 * SEC)].into());
        w.wants(7, &wants(5));
        let came: usize = run(&mut w, 5, SEC / 50, |_| Ended::Fetched).iter().sum();
        w.wants(7, &wants(5));
        assert_eq!((came, w.due(106 * SEC)), (5, vec![]));
        w.wants(7, &wants(9));
        assert_eq!(w.due(107 * SEC).len(), 1);
        w.ended(107 * SEC, 7, Ended::Old);
        w.wants(7, &wants(20));
        assert!(w.due(109 * SEC).is_empty() && w.next() == Ns::MAX);
        // A cache that began anew is another one.
        let mut w = Warming::new(PACE);
        w.listed(100 * SEC, &[(7, 100 * SEC)].into());
        w.wants(7, &wants(1));
        assert_eq!(w.due(100 * SEC).len(), 1);
        w.listed(101 * SEC, &[(7, 101 * SEC)].into());
        w.wants(7, &wants(1));
        assert_eq!(w.due(101 * SEC).len(), 1);
    }
}
