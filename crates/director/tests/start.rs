//! Failing system calls during the start: temporary failures are retried, lasting ones are reported.

mod help;

use std::net::TcpListener;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use help::faults::FaultPlan;
use help::*;

/// A start that can't succeed must end within this time.
const FAILED_START_TIMEOUT: Duration = Duration::from_secs(10);

/// System calls of the start, each with the temporary errors that Linux documents for it.
const TEMPORARY_ERRORS: [(&str, &[&str]); 11] = [
    ("socket", &["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]),
    ("bind", &["EADDRINUSE", "ENOMEM", "ENOBUFS"]),
    ("listen", &["EADDRINUSE"]),
    ("epoll_create", &["EMFILE", "ENFILE", "ENOMEM"]),
    ("epoll_ctl", &["ENOMEM", "ENOSPC"]),
    ("eventfd", &["EMFILE", "ENFILE", "ENOMEM"]),
    ("socketpair", &["EMFILE", "ENFILE", "ENOBUFS"]),
    ("thread", &["EAGAIN"]),
    ("open", &["EMFILE", "ENFILE", "ENOMEM", "EIO", "EINTR"]),
    ("file_read", &["EIO", "EINTR"]),
    ("wait", &["EINTR"]),
];

#[test]
fn the_start_retries_calls_that_fail_temporarily() {
    for (call, errors) in TEMPORARY_ERRORS {
        for error in errors {
            let faults = FaultPlan::new(&format!("fail {call} {error} 0 400 100"));
            let harness = Harness::with_config_and_env(|config| config, &faults.environment());
            assert!(harness.client().is_healthy(), "{call} {error}");
        }
    }
}

fn sample(listen: &str, name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("sablecross-start-{}-{name}.json", std::process::id()));
    std::fs::write(&path, SAMPLE.replace("127.0.0.1:10080", listen)).expect("written");
    path
}

/// Starts the program, which must end within the timeout, and returns its output.
fn failed_start(config: &std::path::Path, faults: &FaultPlan) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
        .env("NODE_CONFIG", config)
        .envs(faults.environment())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let start = Instant::now();
    while child.try_wait().expect("waited").is_none() {
        assert!(start.elapsed() < FAILED_START_TIMEOUT, "the program has not ended");
        std::thread::sleep(Duration::from_millis(20));
    }
    child.wait_with_output().expect("ended")
}

#[test]
fn a_failed_start_reports_its_cause_in_bounded_time() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("bound");
    let in_use = occupied.local_addr().expect("bound").to_string();
    let cases = [
        (&*in_use, "", "Address already in use"),
        ("127.0.0.1:0", "fail bind EACCES 0 100000 100", "Permission denied"),
        ("127.0.0.1:0", "fail socket ENOBUFS 0 100000 100", "No buffer space available"),
        ("127.0.0.1:0", "fail open EIO 0 100000 100", "Input/output error"),
        ("127.0.0.1:0", "fail thread EAGAIN 0 100000 100", "Resource temporarily unavailable"),
    ];
    for (number, (listen, plan, words)) in cases.into_iter().enumerate() {
        let (config, faults) = (sample(listen, &number.to_string()), FaultPlan::new(plan));
        let out = failed_start(&config, &faults);
        let log = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{words}: {log}");
        assert!(log.contains(words) && log.lines().count() == 1, "{words}: {log}");
        std::fs::remove_file(config).expect("removed");
    }
}
