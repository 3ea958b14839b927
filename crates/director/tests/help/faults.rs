//! Faults of system calls in the program under test: the plan that its preloaded library follows.

use std::ffi::{OsStr, OsString};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// In memory, where the system has such a directory: a disk may take over 0.1 s for a new plan, while the tests measure how
/// soon the program serves again.
fn plan_directory() -> PathBuf {
    let in_memory = Path::new("/dev/shm");
    if in_memory.is_dir() { in_memory.to_owned() } else { std::env::temp_dir() }
}

pub(crate) struct Faults {
    plan: PathBuf,
    library: OsString,
}

impl Faults {
    /// A plan that is in force from the start on; `crates/fault-injection/src/plan.rs` has its grammar.
    pub(crate) fn plan(rules: &str) -> Faults {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("sablecross-fault-injection-{}-{number}.plan", std::process::id());
        // The library lies beside the tests, as one of their dependencies.
        let tests = std::env::current_exe().expect("its own name");
        let library = tests.with_file_name("libsablecross_fault_injection.so");
        assert!(library.exists(), "built with the tests");
        let faults = Faults { plan: plan_directory().join(name), library: library.into_os_string() };
        faults.set(rules);
        faults
    }

    /// Other rules from now on.
    pub(crate) fn set(&self, rules: &str) {
        let new = self.plan.with_extension("new");
        std::fs::write(&new, rules).expect("written");
        std::fs::rename(&new, &self.plan).expect("in place");
    }

    /// What the program is started with.
    pub(crate) fn environment(&self) -> [(&str, &OsStr); 2] {
        [("LD_PRELOAD", &self.library), ("SABLECROSS_FAULTS", self.plan.as_os_str())]
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.plan);
    }
}
