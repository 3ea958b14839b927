//! All states of small hierarchies while they change, by stateright: told versions late, lost, doubled and out of
//! order, the driver killed, a second change while one runs, bad evidence. A fill walks through it all by what each node holds.
//!
//! `SABLECROSS_MODEL=all` searches every first version and every pair of changes on it (one of each kind that differs
//! by the names of the nodes alone), `N` one in so many, `N:PART` another such part; without it a sample is searched, the same each time.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sablecross_hierarchy::rollout::Participant;
use sablecross_hierarchy::{
    Hierarchy, NodeId, Rollout, RolloutAction, RolloutInput, RolloutRecord, VersionHolder,
};
use stateright::{Checker, Model, Property};
use support::{all_masks, of_masks};

#[derive(Clone, Debug)]
struct World {
    driver: Rollout,
    log: Vec<Arc<RolloutRecord>>,
    now: u64,
    holders: Vec<VersionHolder>,
    /// What was told to each party, in any order and as often as may be; what is never taken is lost.
    told: BTreeSet<(usize, u64)>,
    versions: Vec<(u64, Hierarchy)>,
    /// Words of parties on their way to the driver.
    words: BTreeSet<(usize, u64, u64)>,
    /// Where a fill that set out at a node can be, and when it set out at the latest: all fills there can be at
    /// once, each staying or going on as it may. One that meets any node twice has set out there at the latest.
    fills: BTreeMap<(NodeId, NodeId), u64>,
    twice: bool,
    begun: bool,
    second: bool,
    kills: u8,
    bad: u8,
}

impl World {
    fn key(&self) -> impl Hash + Eq + '_ {
        let holders: Vec<u64> = self.holders.iter().map(VersionHolder::number).collect();
        // Times count by how long ago they are: the same state later is the same state.
        let fills: Vec<_> = self.fills.iter().map(|(k, at)| (*k, self.now - at)).collect();
        let flags = (self.begun, self.second, self.kills, self.bad, self.twice);
        (self.driver.state_key(self.now), holders, &self.told, &self.words, fills, flags)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.key().hash(to);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    Propose,
    Second,
    Take(usize, u64),
    Word(usize, u64, u64),
    Tick,
    Kill,
    Evidence,
}

struct Search {
    from: Hierarchy,
    aim: Hierarchy,
    second: Option<Hierarchy>,
    kills: u8,
    bad: u8,
    /// A fault sown for the search to find: it is told all at once, without a plan.
    jump: bool,
    /// Another: steps follow one another while lookups from before are in hand.
    hasty: bool,
}

impl Search {
    fn parties(&self) -> Vec<Participant> {
        (1..self.from.len()).map(|n| format!("n{n}").into()).collect()
    }

    fn settle(&self, w: &mut World, kill: bool) {
        for act in w.driver.take_actions() {
            match act {
                RolloutAction::Persist(record) => w.log.push(Arc::new(record)),
                // Killed once all is kept and nothing is told yet; the acts before that are tested by themselves.
                RolloutAction::Publish { .. } if kill => {}
                RolloutAction::Publish { number, version } => {
                    if !w.versions.iter().any(|(n, _)| *n == number) {
                        w.versions.push((number, version));
                    }
                    w.told.extend((0..w.holders.len()).map(|p| (p, number)));
                }
                RolloutAction::Log(_) => {}
            }
        }
    }

    /// Lets fills set out and go on by what each node holds now.
    fn walk(&self, w: &mut World) {
        if w.driver.progress().is_none() {
            // Only while something changes can a fill meet more than one version.
            w.fills.clear();
            return;
        }
        let mut next: Vec<((NodeId, NodeId), u64)> = (1..self.from.len() as NodeId)
            .map(|n| ((n, n), w.now))
            .chain(w.fills.iter().map(|(k, at)| (*k, *at)))
            .collect();
        w.fills.clear();
        while let Some(((start, at), born)) = next.pop() {
            if w.fills.get(&(start, at)).is_some_and(|b| *b >= born) {
                continue;
            }
            w.fills.insert((start, at), born);
            for s in w.holders[at as usize - 1].version().into_iter().flat_map(|v| v.active_sources(at)) {
                w.twice |= s == start;
                if s != 0 {
                    next.push(((start, s), born));
                }
            }
        }
    }

    fn hear(&self, w: &mut World, input: RolloutInput) {
        let _ = w.driver.handle(input, w.now);
        self.settle(w, false);
    }
}

impl Model for Search {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut driver = Rollout::new(1, self.from.clone(), self.parties()).unwrap();
        let mut holders = vec![VersionHolder::new(); self.from.len() - 1];
        driver.take_actions();
        for (party, holder) in self.parties().into_iter().zip(&mut holders) {
            holder.offer(1, &self.from);
            driver
                .handle(
                    RolloutInput::VersionApplied {
                        participant: party,
                        number: 1,
                        digest: self.from.digest(),
                    },
                    0,
                )
                .unwrap();
        }
        let version = sablecross_hierarchy::spec::HierarchySpec::from_hierarchy(1, &self.from);
        vec![World {
            driver,
            log: vec![Arc::new(RolloutRecord::Checkpoint { number: 1, next_change: 1, version })],
            now: 0,
            holders,
            told: BTreeSet::new(),
            versions: vec![(1, self.from.clone())],
            words: BTreeSet::new(),
            fills: BTreeMap::new(),
            twice: false,
            begun: false,
            second: false,
            kills: 0,
            bad: 0,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Move>) {
        if w.twice {
            return;
        }
        if !w.begun {
            actions.push(Move::Propose);
        } else if !w.second && self.second.is_some() && w.driver.progress().is_some() {
            actions.push(Move::Second);
        }
        actions.extend(
            w.told.iter().filter(|(p, n)| *n > w.holders[*p].number()).map(|&(p, n)| Move::Take(p, n)),
        );
        actions.extend(w.words.iter().map(|&(p, n, d)| Move::Word(p, n, d)));
        if w.driver.next_wakeup().is_some() {
            actions.push(Move::Tick);
        }
        if w.begun && w.kills < self.kills {
            actions.push(Move::Kill);
        }
        if w.begun && w.bad < self.bad && w.driver.progress().is_some_and(|progress| !progress.is_rollback) {
            actions.push(Move::Evidence);
        }
    }

    fn next_state(&self, before: &World, action: Move) -> Option<World> {
        let mut w = before.clone();
        match action {
            Move::Propose => {
                w.begun = true;
                if self.jump {
                    w.versions.push((2, self.aim.clone()));
                    w.told.extend((0..w.holders.len()).map(|p| (p, 2)));
                }
                self.hear(&mut w, RolloutInput::Propose { target: self.aim.clone() });
            }
            Move::Second => {
                w.second = true;
                let aim = self.second.clone()?;
                self.hear(&mut w, RolloutInput::Propose { target: aim });
            }
            Move::Take(p, n) => {
                let version = w.versions.iter().find(|(number, _)| *number == n)?.1.clone();
                w.holders[p].offer(n, &version);
                w.words.insert((p, n, version.digest()));
            }
            Move::Word(p, number, digest) => {
                // A word that was heard may come again: it changes nothing then.
                let party = self.parties()[p].clone();
                w.words.remove(&(p, number, digest));
                self.hear(
                    &mut w,
                    RolloutInput::VersionApplied { participant: party.clone(), number, digest },
                );
                self.hear(&mut w, RolloutInput::VersionApplied { participant: party, number, digest });
            }
            Move::Tick => {
                let wake = w.driver.next_wakeup()?;
                w.now = w.now.max(wake);
                // No lookup is in hand for longer than this.
                let (now, hold) = (w.now, self.from.rules.drain_window);
                w.fills.retain(|_, at| self.hasty || *at + hold > now);
                self.hear(&mut w, RolloutInput::Tick);
            }
            Move::Kill => {
                w.kills += 1;
                self.settle(&mut w, true);
                let log: Vec<RolloutRecord> = w.log.iter().map(|r| (**r).clone()).collect();
                w.driver = Rollout::recover(&log, self.parties(), w.now).ok()?;
                self.settle(&mut w, false);
                // Each says what it holds when the driver is back.
                let said: Vec<_> = w
                    .holders
                    .iter()
                    .enumerate()
                    .map(|(p, h)| (p, h.number(), h.version().map_or(0, Hierarchy::digest)))
                    .collect();
                w.words.extend(said);
            }
            Move::Evidence => {
                w.bad += 1;
                self.hear(&mut w, RolloutInput::HealthReport { origin_load: 1e7, down_nodes: Vec::new() });
            }
        }
        self.walk(&mut w);
        // What would change nothing is as good as lost.
        let World { told, words, holders, driver, .. } = &mut w;
        told.retain(|(p, n)| *n > holders[*p].number());
        words.retain(|(_, n, _)| *n == driver.published().number);
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no fill meets a node twice", |_, w: &World| !w.twice),
            Property::always("no one goes back to an older number", |_, w: &World| {
                // Holders are told apart from the log: what is in force is never beyond what was kept.
                w.holders.iter().all(|h| h.number() <= w.driver.published().number)
            }),
            Property::eventually("every change ends, and all agree", |s: &Search, w: &World| {
                let held = w.driver.committed().version;
                let one = *held == s.aim || *held == s.from || s.second.as_ref() == Some(held);
                let agreed = w.holders.iter().all(|h| h.version() == Some(held));
                let agreed = agreed && w.told.is_empty();
                w.begun && w.driver.progress().is_none() && one && agreed
            }),
        ]
    }
}

fn states(search: Search) -> (usize, Vec<&'static str>) {
    let checker = search.checker().spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().keys().copied().collect())
}

/// One of each kind of triple that differs by the names of its nodes alone.
fn first_of_its_kind(triple: [&[u8]; 3]) -> bool {
    let n = triple[0].len();
    let code = |t: &[Vec<u8>]| t.concat();
    let own = code(&triple.map(<[u8]>::to_vec));
    let mut names: Vec<Vec<usize>> = vec![vec![]];
    for _ in 0..n {
        names = names
            .into_iter()
            .flat_map(|p| {
                (0..n).filter(|i| !p.contains(i)).map(|i| [p.clone(), vec![i]].concat()).collect::<Vec<_>>()
            })
            .collect();
    }
    names.into_iter().all(|p| {
        let renamed: Vec<Vec<u8>> = triple
            .iter()
            .map(|masks| {
                let mut to = vec![0u8; n];
                for (i, mask) in masks.iter().enumerate() {
                    let moved =
                        (0..n).filter(|s| mask >> (s + 1) & 1 == 1).map(|s| 1u8 << (p[s] + 1)).sum::<u8>();
                    to[p[i]] = moved | (mask & 1);
                }
                to
            })
            .collect();
        own <= code(&renamed)
    })
}

fn search(from: &[u8], aim: &[u8], second: Option<&[u8]>, kills: u8, bad: u8) -> Search {
    let second = second.map(of_masks);
    Search { from: of_masks(from), aim: of_masks(aim), second, kills, bad, jump: false, hasty: false }
}

#[test]
fn every_change_ends_and_no_fill_meets_a_node_twice() {
    // Of three nodes and the origin one triple in so many is searched; of fewer nodes all are.
    let asked = std::env::var("SABLECROSS_MODEL").unwrap_or_else(|_| "997".into());
    let (each, part) = match asked.split_once(':') {
        _ if asked == "all" => (1, 0),
        None => (asked.parse().expect("SABLECROSS_MODEL: all, N, or N:PART"), 0),
        Some((n, part)) => (n.parse().expect("one in how many"), part.parse().expect("which part")),
    };
    let mut triples = Vec::new();
    for n in 1..=3 {
        let masks = all_masks(n);
        let mut count = 0usize;
        for (a, b) in masks.iter().flat_map(|a| masks.iter().map(move |b| (a, b))).filter(|(a, b)| a != b) {
            for c in masks.iter().filter(|c| first_of_its_kind([a, b, c])) {
                count += 1;
                let bounds = if n < 3 { (1, 1) } else { ((count % 2) as u8, 1 - (count % 2) as u8) };
                if n < 3 || count % each == part {
                    triples.push((a.clone(), b.clone(), c.clone(), bounds));
                }
            }
        }
    }
    let (next, states_in_all, most) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((a, b, c, (kills, bad))) = triples.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let (count, found) = states(search(a, b, Some(c), *kills, *bad));
                    assert!(found.is_empty(), "{a:?} {b:?} {c:?}: {found:?}");
                    let all = states_in_all.fetch_add(count, Ordering::Relaxed) + count;
                    most.fetch_max(count, Ordering::Relaxed);
                    let done = next.load(Ordering::Relaxed);
                    if done % 1_000 == 0 {
                        eprintln!("triples={done} of={} states={all}", triples.len());
                    }
                }
            });
        }
    });
    let all = states_in_all.into_inner();
    eprintln!("triples={} states={all} most={}", triples.len(), most.into_inner());
    assert!(triples.len() > 100 && all > 500_000, "{all}");
}

#[test]
fn faults_that_are_sown_are_found() {
    // Two nodes that swap places: told at once, a fill can run in a circle between them.
    let swapped: (&[u8], &[u8]) = (&[0b001, 0b010], &[0b100, 0b001]);
    let jumped = Search { jump: true, ..search(swapped.0, swapped.1, None, 0, 0) };
    assert!(states(jumped).1.contains(&"no fill meets a node twice"));
    assert!(states(search(swapped.0, swapped.1, None, 0, 0)).1.is_empty());
    // Without the time for lookups from before, a fill meets three versions.
    let mut found = 0;
    let masks = all_masks(3);
    for (a, b) in masks.iter().flat_map(|a| masks.iter().map(move |b| (a, b))).step_by(7) {
        let hasty = Search { hasty: true, ..search(a, b, None, 0, 0) };
        found += usize::from(states(hasty).1.contains(&"no fill meets a node twice"));
    }
    assert!(found > 0);
}
