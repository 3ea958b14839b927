//! Without the feature `hierarchy` a director knows caches, parents and the origin alone: no version can be told.

use std::sync::Arc;

use sablecross::Listed;
use serde_json::Value;

/// None can be.
#[derive(Debug, PartialEq)]
pub enum Told {}

impl Told {
    pub fn of(_event: &Value) -> Result<Told, String> {
        Err("a hierarchy, which this program was built without".into())
    }

    pub fn read() -> Option<Result<Told, String>> {
        None
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    pub number: u64,
    pub digest: u64,
}

#[derive(Debug)]
pub enum Current {}

impl Current {
    pub fn way(&self, _source: &str, _object: u64) -> Option<String> {
        match *self {}
    }
}

#[derive(Debug, Default)]
pub struct Upper;

impl Upper {
    pub fn new(_parent_kind: Option<usize>) -> Upper {
        Upper
    }

    pub fn current(&self) -> Option<&Arc<Current>> {
        None
    }

    pub fn list(&mut self, _lines: &mut [Listed], _whole: bool, _name: impl Fn(usize) -> String) {}

    pub fn take(&mut self, told: &Told) -> Option<(Vec<Listed>, InForce)> {
        match *told {}
    }
}
