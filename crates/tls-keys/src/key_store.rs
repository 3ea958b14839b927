//! The generation that is in use, swapped as a whole.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::Ns;
use crate::error::KeyError;
use crate::generation::Generation;
use crate::key_files::KeyMaterial;

/// What a reload did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// A new generation, of this number, is in use from now on.
    Installed(u64),
    /// Nothing has changed.
    Unchanged,
}

/// The generation in use. Readers never wait for a reload, and what began with an older generation keeps that.
#[derive(Debug)]
pub struct KeyStore {
    current: ArcSwap<Generation>,
}

impl KeyStore {
    /// Starts with a first generation. Fails if anything in it is wrong.
    pub fn new(material: &KeyMaterial, now: Ns) -> Result<KeyStore, KeyError> {
        let first = Generation::from_material(1, material, now)?;
        Ok(KeyStore { current: ArcSwap::from_pointee(first) })
    }

    /// The generation in use, to be kept by whatever begins now for as long as that lasts.
    pub fn current(&self) -> Arc<Generation> {
        self.current.load_full()
    }

    /// Installs what the files say now, all of it or, if anything is wrong, nothing. To be called by one thread.
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
