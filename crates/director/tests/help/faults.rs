//! Injects faults into the system calls of the program under test, with a plan that its preloaded library follows.

use std::ffi::{OsStr, OsString};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The directory for plan files: in memory if the system has one. Writing a new plan to a disk may take over 0.1 s, which
/// would distort how soon the tests see the program serve again.
fn plan_directory() -> PathBuf {
    let in_memory = Path::new("/dev/shm");
    if in_memory.is_dir() { in_memory.to_owned() } else { std::env::temp_dir() }
}

/// A file with fault rules, removed when this is dropped.
pub(crate) struct FaultPlan {
    path: PathBuf,
    library: OsString,
}

impl FaultPlan {
    /// Creates a plan that applies from the start of the program; `crates/fault-injection/src/plan.rs` has its grammar.
    pub(crate) fn new(rules: &str) -> FaultPlan {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("sablecross-fault-injection-{}-{number}.plan", std::process::id());
        // Cargo builds the library next to the tests, as one of their dependencies.
        let tests = std::env::current_exe().expect("its own name");
        let library = tests.with_file_name("libsablecross_fault_injection.so");
        assert!(library.exists(), "built with the tests");
        let faults = FaultPlan { path: plan_directory().join(name), library: library.into_os_string() };
        faults.set_rules(rules);
        faults
    }

    /// Replaces the rules of the plan.
    pub(crate) fn set_rules(&self, rules: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, rules).expect("written");
        std::fs::rename(&new, &self.path).expect("in place");
    }

    /// The environment variables with which to start the program.
    pub(crate) fn environment(&self) -> [(&str, &OsStr); 2] {
        [("LD_PRELOAD", &self.library), ("SABLECROSS_FAULTS", self.path.as_os_str())]
    }
}

impl Drop for FaultPlan {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
