//! A start amid system calls that fail: those that pass are outlasted, those that don't are named.

mod help;

use std::net::TcpListener;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use help::faults::Faults;
use help::*;

/// A start that can't be ends within this.
const BOUND: Duration = Duration::from_secs(10);

/// Calls of the start, each with the errors that Linux documents for it and that pass.
const PASSING: [(&str, &[&str]); 11] = [
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
fn a_start_outlasts_calls_that_fail_for_a_moment() {
    for (call, errors) in PASSING {
        for error in errors {
            let faults = Faults::plan(&format!("fail {call} {error} 0 400 100"));
            let w = World::start_with(|c| c, &faults.environment());
            assert!(w.client().alive(), "{call} {error}");
        }
    }
}

fn sample(listen: &str, name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("sablecross-start-{}-{name}.json", std::process::id()));
    std::fs::write(&path, SAMPLE.replace("127.0.0.1:10080", listen)).expect("written");
    path
}

/// Runs a start that must fail, within the bound.
fn failed_start(config: &std::path::Path, faults: &Faults) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablecross-director"))
        .env("NODE_CONFIG", config)
        .envs(faults.environment())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let start = Instant::now();
    while child.try_wait().expect("asked").is_none() {
        assert!(start.elapsed() < BOUND, "it ends");
        std::thread::sleep(Duration::from_millis(20));
    }
    child.wait_with_output().expect("ended")
}

#[test]
fn a_start_that_cannot_be_names_its_cause_in_bounded_time() {
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
        let (config, faults) = (sample(listen, &number.to_string()), Faults::plan(plan));
        let out = failed_start(&config, &faults);
        let log = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{words}: {log}");
        assert!(log.contains(words) && log.lines().count() == 1, "{words}: {log}");
        std::fs::remove_file(config).expect("removed");
    }
}
