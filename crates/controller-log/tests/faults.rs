//! A disk that fails for a while, under the log: the test runs itself once more with the fault library.

use std::path::{Path, PathBuf};
use std::process::Command;

use sablecross_controller_log::ControllerLog;
use sablecross_hierarchy::RolloutRecord;

/// Set in the process that writes.
const FILE: &str = "SABLECROSS_STORE_TEST";
const FAULTS: [&str; 5] = [
    "fail sync EIO",
    "fail sync ENOSPC",
    "fail file_write ENOSPC",
    "fail file_write EIO",
    "short file_write 100",
];

fn set(plan: &Path, rules: &str) {
    std::fs::write(plan, rules).expect("written");
    // The library looks at its plan before long.
    std::thread::sleep(std::time::Duration::from_millis(40));
}

/// Writes entries while the disk fails and after.
fn write_under_faults(file: &Path) {
    let plan = PathBuf::from(std::env::var("SABLECROSS_FAULTS").expect("a plan"));
    let fault = std::env::var("SABLECROSS_STORE_FAULT").expect("a fault");
    let (mut log, _) = ControllerLog::open(file).expect("opened");
    let entry = |n| RolloutRecord::StepCommitted { number: n };
    log.append(&entry(0)).expect("written before");
    set(&plan, &format!("{fault} 0 1000000000 100"));
    let failed = log.append(&entry(1)).is_err();
    set(&plan, "");
    // What could not be kept is kept once the disk is well.
    if failed {
        log.append(&entry(1)).expect("written after");
    }
    log.append(&entry(2)).expect("written at last");
    drop(log);
    assert_eq!(ControllerLog::open(file).expect("opened again").1.len(), 3);
}

#[test]
fn the_log_goes_on_once_the_disk_is_well() {
    if let Ok(file) = std::env::var(FILE) {
        return write_under_faults(Path::new(&file));
    }
    let own = std::env::current_exe().expect("its own name");
    let library = own.with_file_name("libsablecross_fault_injection.so");
    for fault in FAULTS {
        let folder = tempfile::tempdir().expect("a folder");
        let plan = folder.path().join("plan");
        std::fs::write(&plan, "").expect("written");
        let out = Command::new(&own)
            .args(["--exact", "the_log_goes_on_once_the_disk_is_well", "--nocapture"])
            .env(FILE, folder.path().join("log.redb"))
            .env("SABLECROSS_STORE_FAULT", fault)
            .env("SABLECROSS_FAULTS", &plan)
            .env("LD_PRELOAD", &library)
            .output()
            .expect("runs");
        assert!(out.status.success(), "{fault}: {}", String::from_utf8_lossy(&out.stderr));
    }
}
