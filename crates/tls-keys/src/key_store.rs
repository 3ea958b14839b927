//! Holds the current generation of certificates and keys, which is replaced atomically.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::Ns;
use crate::error::KeyError;
use crate::generation::Generation;
use crate::key_files::KeyMaterial;

/// Result of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// A new generation, with this number, is now the current one.
    Installed(u64),
    /// The certificates and revocation lists have not changed.
    Unchanged,
}

/// Holds the current generation. Readers never wait for a reload, and a handshake that began with an older generation
/// keeps it.
#[derive(Debug)]
pub struct KeyStore {
    current: ArcSwap<Generation>,
}

impl KeyStore {
    /// Creates a store with the first generation. Fails if any check of its files fails.
    pub fn new(material: &KeyMaterial, now: Ns) -> Result<KeyStore, KeyError> {
        let first = Generation::from_material(1, material, now)?;
        Ok(KeyStore { current: ArcSwap::from_pointee(first) })
    }

    /// Returns the current generation. A handshake or connection keeps the one that it began with until it ends.
    pub fn current(&self) -> Arc<Generation> {
        self.current.load_full()
    }

    /// Installs a new generation, unless nothing has changed. If any check fails, the current generation stays in use
    /// as a whole. Only one thread may call this.
    pub fn reload(&self, material: &KeyMaterial, now: Ns) -> Result<ReloadOutcome, KeyError> {
        let current = self.current();
        let next = Generation::from_material(current.number + 1, material, now)?;
        if next.has_same_content(&current) {
            return Ok(ReloadOutcome::Unchanged);
        }
        let number = next.number;
        self.current.store(Arc::new(next));
        Ok(ReloadOutcome::Installed(number))
    }
}
