//! A table of what is known of objects, with a limited number of entries.
//!
//! Clients name the objects, so they determine how many entries are created. This protects the memory of the process,
//! and the entries that have shown something: a new entry only takes the place of one that has shown nothing. The
//! cost is that, while the table is full of entries that have, requests for other objects are not recorded.

use indexmap::IndexMap;

use crate::hash_ring::split_mix64;

/// The maximum number of entries of each table, where the caller sets no other.
const DEFAULT_MAX_OBJECTS: usize = 65_536;
/// The number of entries among which one that has shown nothing is looked for when the table is full.
const EVICTION_SAMPLES: usize = 8;

/// What is known of an object.
pub(crate) trait ObjectEntry: Default {
    /// Whether the object was requested again or answered, so that its entry is worth more than that of an object
    /// that is requested for the first time.
    fn has_shown_use(&self) -> bool;
}

/// What is known of objects, by their keys.
#[derive(Clone, Debug)]
pub(crate) struct ObjectTable<V> {
    entries: IndexMap<u64, V>,
    max_entries: usize,
    /// The number of entries that were examined for eviction, from which the next one is drawn.
    draws: u64,
}

impl<V> Default for ObjectTable<V> {
    fn default() -> Self {
        ObjectTable { entries: IndexMap::new(), max_entries: DEFAULT_MAX_OBJECTS, draws: 0 }
    }
}

impl<V: ObjectEntry> ObjectTable<V> {
    /// Limits the number of entries from now on.
    pub(crate) fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// The number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, key: u64) -> Option<&V> {
        self.entries.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: u64) -> Option<&mut V> {
        self.entries.get_mut(&key)
    }

    /// The entry of a key, which is created if there is none. None if there is no room for it.
    pub(crate) fn get_or_create(&mut self, key: u64) -> Option<&mut V> {
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            let evicted = self.find_unused()?;
            self.entries.swap_remove_index(evicted);
        }
        Some(self.entries.entry(key).or_default())
    }

    /// Removes the entries for which the function returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&mut V) -> bool) {
        self.entries.retain(|_, entry| keep(entry));
    }

    /// The index of an entry that has shown no use, if there is one among a few that are drawn.
    fn find_unused(&mut self) -> Option<usize> {
        let count = self.entries.len() as u64;
        (0..EVICTION_SAMPLES.min(self.entries.len())).find_map(|_| {
            self.draws = self.draws.wrapping_add(1);
            let index = (split_mix64(self.draws) % count) as usize;
            let (_, entry) = self.entries.get_index(index)?;
            (!entry.has_shown_use()).then_some(index)
        })
    }
}
