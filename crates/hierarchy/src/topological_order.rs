//! Topological orders of the graph of sources: one that is updated edge by edge, and a full sort.
//!
//! The incremental algorithm is by Pearce and Kelly, "A dynamic topological sort algorithm for directed acyclic graphs"
//! (2006). An edge that agrees with the order needs no reordering; for any other edge, only nodes between the positions
//! of its ends are visited and reordered.

/// An acyclic graph with its topological order. An edge from `a` to `b` means that `a` fills from `b`, and `a` precedes
/// `b` in the order.
#[derive(Clone, Debug, Default)]
pub struct TopologicalOrder {
    positions: Vec<u32>,
    sources: Vec<Vec<u32>>,
    dependents: Vec<Vec<u32>>,
    /// The number of the last search that visited each node, so that no search has to clear the marks of the previous
    /// one.
    visited: Vec<u32>,
    search: u32,
}

impl TopologicalOrder {
    /// Creates a graph without edges whose nodes are numbered from 0.
    pub fn new(nodes: usize) -> TopologicalOrder {
        let mut order = TopologicalOrder::default();
        order.grow(nodes);
        order
    }

    /// Adds nodes until the graph has this many. Has no effect if it has more.
    pub fn grow(&mut self, nodes: usize) {
        let old = self.positions.len();
        self.positions.extend((old..nodes).map(|node| node as u32));
        let nodes = self.positions.len();
        self.sources.resize(nodes, Vec::new());
        self.dependents.resize(nodes, Vec::new());
        self.visited.resize(nodes, 0);
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the graph has no nodes.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// The position of a node in the order. The nodes that fill from it have smaller positions.
    pub fn position(&self, node: u32) -> u32 {
        self.positions[node as usize]
    }

    /// The nodes that a node fills from.
    pub fn sources(&self, node: u32) -> &[u32] {
        &self.sources[node as usize]
    }

    /// Adds the edge from `a` to `b`.
    ///
    /// # Errors
    /// If the edge would close a cycle, it is not added, and the cycle from `a` back to `a` is returned.
    pub fn insert_edge(&mut self, a: u32, b: u32) -> Result<(), Vec<u32>> {
        if a == b {
            return Err(vec![a, a]);
        }
        if self.sources[a as usize].contains(&b) {
            return Ok(());
        }
        let (low, high) = (self.position(b), self.position(a));
        if low < high {
            let descendants = self.descendants(b, a, high)?;
            let ancestors = self.ancestors(a, low);
            self.reorder(ancestors, descendants);
        }
        self.sources[a as usize].push(b);
        self.dependents[b as usize].push(a);
        Ok(())
    }

    /// Removes the edge from `a` to `b`, if the graph has it.
    pub fn remove_edge(&mut self, a: u32, b: u32) {
        self.sources[a as usize].retain(|&source| source != b);
        self.dependents[b as usize].retain(|&dependent| dependent != a);
    }

    fn start_search(&mut self) -> u32 {
        self.search = self.search.wrapping_add(1);
        if self.search == 0 {
            self.visited.fill(0);
            self.search = 1;
        }
        self.search
    }

    /// Finds all nodes that can be reached from `from` and have a smaller position than `high`. If `to` can be reached,
    /// the error is the cycle that an edge from `to` to `from` would close.
    fn descendants(&mut self, from: u32, to: u32, high: u32) -> Result<Vec<u32>, Vec<u32>> {
        let search = self.start_search();
        let mut found = vec![from];
        // The stack of the depth-first search: each node with the index of its next source.
        let mut path: Vec<(u32, usize)> = vec![(from, 0)];
        self.visited[from as usize] = search;
        while let Some((node, next)) = path.last_mut() {
            let Some(&source) = self.sources[*node as usize].get(*next) else {
                path.pop();
                continue;
            };
            *next += 1;
            if source == to {
                let mut cycle = vec![to];
                cycle.extend(path.iter().map(|(node, _)| *node));
                cycle.push(to);
                return Err(cycle);
            }
            if self.visited[source as usize] != search && self.positions[source as usize] < high {
                self.visited[source as usize] = search;
                found.push(source);
                path.push((source, 0));
            }
        }
        Ok(found)
    }

    /// Finds all nodes from which `from` can be reached and that have a larger position than `low`.
    fn ancestors(&mut self, from: u32, low: u32) -> Vec<u32> {
        let search = self.start_search();
        let (mut found, mut next) = (vec![from], 0);
        self.visited[from as usize] = search;
        while next < found.len() {
            let node = found[next] as usize;
            next += 1;
            for &dependent in &self.dependents[node] {
                let dependent_index = dependent as usize;
                if self.visited[dependent_index] != search && self.positions[dependent_index] > low {
                    self.visited[dependent_index] = search;
                    found.push(dependent);
                }
            }
        }
        found
    }

    /// Places the ancestors before the descendants, reusing the positions of both.
    fn reorder(&mut self, mut ancestors: Vec<u32>, mut descendants: Vec<u32>) {
        ancestors.sort_unstable_by_key(|&node| self.position(node));
        descendants.sort_unstable_by_key(|&node| self.position(node));
        let mut nodes = ancestors;
        nodes.append(&mut descendants);
        let mut positions: Vec<u32> = nodes.iter().map(|&node| self.position(node)).collect();
        positions.sort_unstable();
        for (node, position) in nodes.into_iter().zip(positions) {
            self.positions[node as usize] = position;
        }
    }
}

/// Sorts all nodes of a graph, given the sources of each node, so that each node precedes its sources.
///
/// # Errors
/// Returns a cycle if the graph has one. The first and the last node of the cycle are the same.
pub fn topological_sort(sources: &[Vec<u32>]) -> Result<Vec<u32>, Vec<u32>> {
    let mut unsorted_dependents = vec![0u32; sources.len()];
    sources.iter().flatten().for_each(|&source| unsorted_dependents[source as usize] += 1);
    let mut order: Vec<u32> =
        (0..sources.len() as u32).filter(|&node| unsorted_dependents[node as usize] == 0).collect();
    let mut next = 0;
    while next < order.len() {
        for &source in &sources[order[next] as usize] {
            unsorted_dependents[source as usize] -= 1;
            if unsorted_dependents[source as usize] == 0 {
                order.push(source);
            }
        }
        next += 1;
    }
    if order.len() == sources.len() {
        return Ok(order);
    }
    Err(find_cycle(sources, &unsorted_dependents))
}

/// Finds a cycle among the nodes that could not be sorted. Each of them is the source of another one, so repeatedly
/// moving from a node to its dependent reaches a cycle.
fn find_cycle(sources: &[Vec<u32>], unsorted_dependents: &[u32]) -> Vec<u32> {
    let is_unsorted = |node: usize| unsorted_dependents[node] > 0;
    let mut dependent = vec![u32::MAX; sources.len()];
    for (node, sources) in sources.iter().enumerate().filter(|(node, _)| is_unsorted(*node)) {
        sources.iter().for_each(|&source| dependent[source as usize] = node as u32);
    }
    let Some(start) = (0..sources.len()).find(|&node| is_unsorted(node)) else { return Vec::new() };
    let mut current = start as u32;
    let mut visited = vec![false; sources.len()];
    while !std::mem::replace(&mut visited[current as usize], true) {
        current = dependent[current as usize];
    }
    let mut cycle = vec![current];
    let mut next = dependent[current as usize];
    while next != current {
        cycle.push(next);
        next = dependent[next as usize];
    }
    cycle.push(current);
    cycle.reverse();
    cycle
}
