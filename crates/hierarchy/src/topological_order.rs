//! A topological order kept up edge by edge (Pearce and Kelly, "A dynamic topological sort algorithm for directed
//! acyclic graphs", 2006): an edge that fits the order costs nothing, one against it only the part between.

/// Nodes from 0 up, each with its edges. `edge(a, b)`: a fills from b, so a stands before b.
#[derive(Clone, Debug, Default)]
pub struct TopologicalOrder {
    place: Vec<u32>,
    out: Vec<Vec<u32>>,
    into: Vec<Vec<u32>>,
    /// When a node was last met, so that nothing has to be cleared between searches.
    met: Vec<u32>,
    search: u32,
}

impl TopologicalOrder {
    pub fn new(nodes: usize) -> TopologicalOrder {
        let mut order = TopologicalOrder::default();
        order.grow(nodes);
        order
    }

    pub fn grow(&mut self, nodes: usize) {
        let from = self.place.len();
        self.place.extend((from..nodes).map(|i| i as u32));
        let nodes = self.place.len();
        self.out.resize(nodes, Vec::new());
        self.into.resize(nodes, Vec::new());
        self.met.resize(nodes, 0);
    }

    pub fn len(&self) -> usize {
        self.place.len()
    }

    pub fn is_empty(&self) -> bool {
        self.place.is_empty()
    }

    /// Where a node stands; who fills from whom stands before.
    pub fn position(&self, node: u32) -> u32 {
        self.place[node as usize]
    }

    pub fn sources(&self, node: u32) -> &[u32] {
        &self.out[node as usize]
    }

    /// Adds an edge. One that would close a cycle is not added: the cycle is given, from `a` back to `a`.
    pub fn insert_edge(&mut self, a: u32, b: u32) -> Result<(), Vec<u32>> {
        if a == b {
            return Err(vec![a, a]);
        }
        if self.out[a as usize].contains(&b) {
            return Ok(());
        }
        let (low, high) = (self.position(b), self.position(a));
        if low < high {
            let ahead = self.ahead(b, a, high)?;
            let behind = self.behind(a, low);
            self.reorder(behind, ahead);
        }
        self.out[a as usize].push(b);
        self.into[b as usize].push(a);
        Ok(())
    }

    pub fn remove_edge(&mut self, a: u32, b: u32) {
        self.out[a as usize].retain(|&x| x != b);
        self.into[b as usize].retain(|&x| x != a);
    }

    fn begin(&mut self) -> u32 {
        self.search = self.search.wrapping_add(1);
        if self.search == 0 {
            self.met.fill(0);
            self.search = 1;
        }
        self.search
    }

    /// All that is reached from `from` up to the place of `to`; the cycle if `to` is among it.
    fn ahead(&mut self, from: u32, to: u32, high: u32) -> Result<Vec<u32>, Vec<u32>> {
        let turn = self.begin();
        let mut found = vec![from];
        let mut way: Vec<(u32, usize)> = vec![(from, 0)];
        self.met[from as usize] = turn;
        while let Some((node, next)) = way.last_mut() {
            let Some(&s) = self.out[*node as usize].get(*next) else {
                way.pop();
                continue;
            };
            *next += 1;
            if s == to {
                let mut cycle = vec![to];
                cycle.extend(way.iter().map(|(n, _)| *n));
                cycle.push(to);
                return Err(cycle);
            }
            if self.met[s as usize] != turn && self.place[s as usize] < high {
                self.met[s as usize] = turn;
                found.push(s);
                way.push((s, 0));
            }
        }
        Ok(found)
    }

    /// All that reaches `from`, down to a place.
    fn behind(&mut self, from: u32, low: u32) -> Vec<u32> {
        let turn = self.begin();
        let (mut found, mut next) = (vec![from], 0);
        self.met[from as usize] = turn;
        while next < found.len() {
            let node = found[next] as usize;
            next += 1;
            for &a in &self.into[node] {
                if self.met[a as usize] != turn && self.place[a as usize] > low {
                    self.met[a as usize] = turn;
                    found.push(a);
                }
            }
        }
        found
    }

    /// Those behind come before those ahead, on the places that both together have.
    fn reorder(&mut self, mut behind: Vec<u32>, mut ahead: Vec<u32>) {
        behind.sort_unstable_by_key(|&n| self.place[n as usize]);
        ahead.sort_unstable_by_key(|&n| self.place[n as usize]);
        behind.append(&mut ahead);
        let mut places: Vec<u32> = behind.iter().map(|&n| self.place[n as usize]).collect();
        places.sort_unstable();
        for (node, place) in behind.into_iter().zip(places) {
            self.place[node as usize] = place;
        }
    }
}

/// A full search: an order of all nodes (who fills from whom comes first), or a cycle, from a node back to it.
pub fn topological_sort(out: &[Vec<u32>]) -> Result<Vec<u32>, Vec<u32>> {
    let mut into = vec![0u32; out.len()];
    out.iter().flatten().for_each(|&s| into[s as usize] += 1);
    let mut order: Vec<u32> = (0..out.len() as u32).filter(|&n| into[n as usize] == 0).collect();
    let mut next = 0;
    while next < order.len() {
        for &s in &out[order[next] as usize] {
            into[s as usize] -= 1;
            if into[s as usize] == 0 {
                order.push(s);
            }
        }
        next += 1;
    }
    if order.len() == out.len() {
        return Ok(order);
    }
    Err(cycle(out, &into))
}

/// A cycle among the nodes that are left with edges into them. Each of these is asked by another that is left, so
/// that going back from one to its asker ends in a circle.
fn cycle(out: &[Vec<u32>], left: &[u32]) -> Vec<u32> {
    let mut asker = vec![u32::MAX; out.len()];
    for (a, sources) in out.iter().enumerate().filter(|(a, _)| left[*a] > 0) {
        sources.iter().for_each(|&s| asker[s as usize] = a as u32);
    }
    let Some(mut at) = left.iter().position(|&n| n > 0).map(|n| n as u32) else { return Vec::new() };
    let mut met = vec![false; out.len()];
    while !std::mem::replace(&mut met[at as usize], true) {
        at = asker[at as usize];
    }
    let mut back = vec![at];
    let mut next = asker[at as usize];
    while next != at {
        back.push(next);
        next = asker[next as usize];
    }
    back.push(at);
    back.reverse();
    back
}
