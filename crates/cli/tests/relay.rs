//! Tests of the exit codes and messages of `sablecross relay`, with a running relay and without one.

use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const LIST: &str = r#"{"members":{"index":1,"snapshot":true,"endpoints":[]}}"#;
const PURGE: &str = r#"{"purge":{"key":"00000000000000aa","at":1764576000123}}"#;

/// A child process that is killed when the test ends, also by a panic.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn sablecross(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sablecross"));
    command.arg("relay").args(args);
    command
}

/// Runs a command. Returns its exit code and the text of both output streams.
fn run(args: &[&str]) -> (i32, String) {
    let out = sablecross(args).output().unwrap();
    let text = [out.stdout, out.stderr].map(|b| String::from_utf8(b).unwrap()).concat();
    (out.status.code().unwrap(), text)
}

#[test]
fn run_publish_and_show() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        file.to_str().unwrap().to_owned()
    };
    let at = format!("127.99.{}.1:7070", std::process::id() % 251);
    let member = format!("(member (number . 0) (address . \"{at}\") (votes . #t))");
    let settings = file("relay.scm", &format!("(relay (number . 0) (batch-ms . 20))\n{member}\n"));
    let s = settings.as_str();
    let typo = file("typo.scm", &format!("(relay (number . 0) (batch-mss . 20))\n{member}\n"));
    let truncated = format!("@{}", file("cut.json", "{\"purge\":\n {\"key\":\"00"));
    let valid = format!("@{}", file("good.json", PURGE));
    for (args, expected_code, message) in [
        (vec!["run", "nowhere.scm"], 2, "nowhere.scm: No such file"),
        (vec!["run", &typo], 2, "typo.scm:1:22: relay.batch-mss: unknown field"),
        (vec!["show", "--settings", s, "--time", "0.2"], 1, "relay-0    no answer"),
        (vec!["publish", "--settings", s, "--time", "0.2", PURGE], 1, "publish it again with --mark"),
        (vec!["publish", "--settings", s, PURGE, &truncated], 2, "cut.json: "),
        (vec!["publish", "--settings", s, "{}"], 2, "event 1: the event has no members, purge or hierarchy"),
    ] {
        let (code, text) = run(&args);
        assert!(code == expected_code && text.contains(message), "{args:?}: {code}\n{text}");
    }
    let mut command = sablecross(&["run", s, "--with-parent"]);
    let log = folder.path().join("log");
    let child = command.stdin(Stdio::piped()).stderr(std::fs::File::create(&log).unwrap()).spawn().unwrap();
    let mut relay = KillOnDrop(child);
    let started = Instant::now();
    while TcpStream::connect(&at).is_err() {
        assert!(started.elapsed() < Duration::from_secs(10), "the relay accepts no connections");
        std::thread::sleep(Duration::from_millis(20));
    }
    let (code, text) = run(&["publish", "--settings", s, PURGE]);
    assert!(code == 1 && text.contains("complete list"), "{code} {text}");
    let (code, text) = run(&["publish", "--settings", s, "--mark", "m", LIST, &valid]);
    assert_eq!(code, 0, "{text}");
    let numbers: Vec<u64> = text.lines().map(|l| l.parse().unwrap()).collect();
    assert_eq!(numbers[1], numbers[0] + 1);
    assert_eq!(run(&["publish", "--settings", s, "--mark", "m", LIST, &valid]), (0, text));
    let (n, later) = (numbers[1].to_string(), (numbers[1] + 1).to_string());
    // The relay records since when the event is in force only in a later step.
    let started = Instant::now();
    let (code, text) = loop {
        let shown = run(&["show", "--settings", s, "--number", &n]);
        if shown.0 == 0 || started.elapsed() > Duration::from_secs(5) {
            break shown;
        }
    };
    assert!(code == 0 && text.contains("in force everywhere that counts since"), "{code} {text}");
    let (code, text) = run(&["show", "--settings", s, "--number", &later]);
    assert!(code == 1 && text.contains("not told yet"), "{code} {text}");
    let (code, text) = run(&["show", "--settings", s, "--json"]);
    assert!(code == 0 && text.starts_with("{") && text.contains("\"role\":\"owner\""), "{code} {text}");
    let kill = |signal: &str| {
        let sent = Command::new("kill").args([signal, &relay.0.id().to_string()]).status();
        assert!(sent.unwrap().success());
    };
    kill("-USR1");
    let started = Instant::now();
    while !std::fs::read_to_string(&log).unwrap().contains("relay status {\"name\":\"relay-0\"") {
        assert!(started.elapsed() < Duration::from_secs(5), "no status in the log");
        std::thread::sleep(Duration::from_millis(20));
    }
    kill("-TERM");
    assert_eq!(relay.0.wait().unwrap().code(), Some(0));
}
