//! The log on a disk that fails temporarily. The test runs itself as a child process with the fault injection library
//! preloaded.

use std::path::{Path, PathBuf};
use std::process::Command;

use sablecross_controller_log::ControllerLog;
use sablecross_hierarchy::RolloutRecord;

/// Names the file to write, in the child process.
const FILE_VARIABLE: &str = "SABLECROSS_STORE_TEST";
const FAULTS: [&str; 5] = [
    "fail sync EIO",
    "fail sync ENOSPC",
    "fail file_write ENOSPC",
    "fail file_write EIO",
    "short file_write 100",
];

fn set_plan(plan: &Path, rules: &str) {
    std::fs::write(plan, rules).expect("written");
    // The library rereads its plan within this time.
    std::thread::sleep(std::time::Duration::from_millis(40));
}

/// Appends records before, during and after the fault.
fn write_under_faults(file: &Path) {
    let plan = PathBuf::from(std::env::var("SABLECROSS_FAULTS").expect("a plan"));
    let fault = std::env::var("SABLECROSS_STORE_FAULT").expect("a fault");
    let (mut log, _) = ControllerLog::open(file).expect("opened");
    let record = |number| RolloutRecord::StepCommitted { number };
    log.append(&record(0)).expect("written before");
    set_plan(&plan, &format!("{fault} 0 1000000000 100"));
    let failed = log.append(&record(1)).is_err();
    set_plan(&plan, "");
    // A record that was not stored can be stored once the disk works again.
    if failed {
        log.append(&record(1)).expect("written after");
    }
    log.append(&record(2)).expect("written at the end");
    drop(log);
    assert_eq!(ControllerLog::open(file).expect("opened again").1.len(), 3);
}

#[test]
fn the_log_can_be_written_once_the_disk_works_again() {
    if let Ok(file) = std::env::var(FILE_VARIABLE) {
        return write_under_faults(Path::new(&file));
    }
    let test_executable = std::env::current_exe().expect("the path of the test executable");
    let library = test_executable.with_file_name("libsablecross_fault_injection.so");
    for fault in FAULTS {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let plan = directory.path().join("plan");
        std::fs::write(&plan, "").expect("written");
        let output = Command::new(&test_executable)
            .args(["--exact", "the_log_can_be_written_once_the_disk_works_again", "--nocapture"])
            .env(FILE_VARIABLE, directory.path().join("log.redb"))
            .env("SABLECROSS_STORE_FAULT", fault)
            .env("SABLECROSS_FAULTS", &plan)
            .env("LD_PRELOAD", &library)
            .output()
            .expect("the child process runs");
        assert!(output.status.success(), "{fault}: {}", String::from_utf8_lossy(&output.stderr));
    }
}
