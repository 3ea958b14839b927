//! `sablecross relay ...`: runs a relay, shows what the tier knows, publishes events.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use sablecross_relay::{AppliedStatus, Event, MergedSubscriber, RelayRole, RelayStatus, merge_statuses};
use sablecross_relay_server::RelayServerConfig;
use sablecross_relay_server::peer_client::PeerClient;
use sablecross_relay_server::publisher::{PublishCallError, Publisher};
use sablecross_relay_server::settings::MemberForm;
use serde_json::{Value, json};

use crate::Verdict;

/// The longest status that is read.
const LONGEST: usize = 64 << 20;

#[derive(Args)]
pub struct Whom {
    /// The settings of any relay: all members are asked.
    #[arg(long)]
    settings: PathBuf,
    /// Seconds that each is waited for; `publish`: that an owner is looked for.
    #[arg(long, default_value_t = 5.0)]
    time: f64,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs a relay until SIGTERM, which hands over; SIGUSR1 puts its status into the log.
    Run {
        /// Its settings: see docs/relay-operators.md.
        file: PathBuf,
        /// Ends it with the program that started it, whose pipe its standard input is.
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// All relays and their readers; for a number, since when it is in force everywhere or at whom it is missing. Changes nothing.
    Show {
        #[command(flatten)]
        whom: Whom,
        #[arg(long)]
        number: Option<u64>,
        #[arg(long)]
        json: bool,
    },
    /// Publishes events, each as JSON without its number, and prints the numbers under which they are told.
    Publish {
        #[command(flatten)]
        whom: Whom,
        /// By which the event is known again, so that it is told once however often it is published; several events
        /// get this with -1, -2 and so on. By itself one is made up.
        #[arg(long)]
        mark: Option<String>,
        /// JSON, or @FILE
        #[arg(required = true)]
        events: Vec<String>,
    },
}

impl Whom {
    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.time.clamp(0.01, 3_600.0))
    }
}

pub fn run(command: &Command) -> Result<Verdict, Vec<String>> {
    match command {
        Command::Run { file, with_parent } => {
            let setting = RelayServerConfig::load(file)?;
            if *with_parent {
                sablecross_relay_server::process::exit_with_parent();
            }
            sablecross_relay_server::process::run(setting)
                .map_err(|e| vec![format!("{}: {e}", file.display())])?;
            Ok(Verdict::Well)
        }
        Command::Show { whom, number, json } => show(whom, *number, *json),
        Command::Publish { whom, mark, events } => publish(whom, mark.as_deref(), events),
    }
}

fn status(at: SocketAddr, time: Duration) -> Result<RelayStatus, String> {
    let mut client = PeerClient::new(at, time, LONGEST);
    let response =
        client.request("GET", "/v1/status", "Connection: close\r\n", b"").map_err(|e| e.to_string())?;
    if response.code != 200 {
        return Err(format!("answer {}", response.code));
    }
    serde_json::from_slice(&response.body).map_err(|e| format!("its status can't be read: {e}"))
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn ago(unix_ms: u64) -> String {
    format!("{:.1} s ago", unix().saturating_sub(unix_ms) as f64 / 1e3)
}

fn show(whom: &Whom, number: Option<u64>, as_json: bool) -> Result<Verdict, Vec<String>> {
    let setting = RelayServerConfig::load(&whom.settings)?;
    let time = whom.time();
    // All at once: one that hangs holds nobody up.
    let asked: Vec<_> = std::thread::scope(|all| {
        let one = |m: &MemberForm| {
            let m = *m;
            (m, all.spawn(move || status(m.address, time)))
        };
        let threads: Vec<_> = setting.members.iter().map(one).collect();
        let joined = threads.into_iter().map(|(m, t)| (m, t.join().unwrap_or(Err("no answer".into()))));
        joined.collect()
    });
    let silent: Vec<(u32, String)> =
        asked.iter().filter_map(|(m, s)| Some((m.number, s.as_ref().err()?.clone()))).collect();
    let all: Vec<RelayStatus> = asked.into_iter().filter_map(|(_, s)| s.ok()).collect();
    let whole = merge_statuses(&all);
    let in_force = number.map(|n| whole.applied_status(n));
    let owner = all.iter().any(|s| s.role == RelayRole::Leader);
    let well = silent.is_empty() && (owner || setting.voters().next().is_none());
    let well = well && in_force.as_ref().is_none_or(|f| f.missing.is_empty() && f.since_unix_ms.is_some());
    if as_json {
        let silent: Vec<Value> = silent.iter().map(|(n, why)| json!({"number": n, "why": why})).collect();
        let shown = json!({"relays": all, "silent": silent, "whole": whole, "in_force": in_force});
        println!("{shown}");
        return Ok(if well { Verdict::Well } else { Verdict::Refused });
    }
    for s in &all {
        let fresh = s.staleness_ms.map_or("never".into(), |ms| format!("{:.1} s", ms as f64 / 1e3));
        let (connected, missing) = (
            s.subscribers.iter().filter(|r| r.connected).count(),
            s.subscribers.iter().filter(|r| r.missing).count(),
        );
        let owner = s.leader.map_or("-".into(), |o| o.to_string());
        println!(
            "{:10} {:6} owner {owner} term {} fresh {fresh}  events {}..{} floor {} log {} KB  readers {connected}, {missing} missing",
            s.name,
            s.role,
            s.term,
            s.snapshot_number,
            s.last_number,
            s.floor,
            s.log_bytes / 1_000
        );
        if let Some(ms) = s.recovering_ms {
            println!("{:10} has begun anew and learns what was kept, for {:.1} s still", "", ms as f64 / 1e3);
        }
        if s.reset_unix_ms > 0 {
            println!("{:10} the log began anew {}", "", ago(s.reset_unix_ms));
        }
    }
    for (number, why) in &silent {
        println!("relay-{number:<4} no answer: {why}");
    }
    if let Some(f) = in_force {
        print_in_force(&f, whole.last_number);
    }
    Ok(if well { Verdict::Well } else { Verdict::Refused })
}

fn print_in_force(f: &AppliedStatus, last: u64) {
    let n = f.number;
    if n > last {
        println!("{n}: not told yet, the last is {last}");
    }
    match f.since_unix_ms {
        Some(since) => println!("{n}: in force everywhere that counts since {since} ({})", ago(since)),
        None if f.missing.is_empty() => {
            println!("{n}: in force at all that are known; since when is not known")
        }
        None => println!("{n}: not in force everywhere"),
    }
    for MergedSubscriber { name, number, last_seen_unix_ms: heard_unix_ms, connected, relay } in &f.missing {
        let how = if *connected { "connected" } else { "gone" };
        match heard_unix_ms {
            Some(heard) => {
                println!("  missing at {name}: has {number}, {how}, heard {} by {relay}", ago(*heard))
            }
            None => println!("  missing at {name}: never heard, expected by {relay}"),
        }
    }
}

/// The text of an event, checked here before anything is published.
fn event(place: usize, text: &str, most: usize) -> Result<Vec<u8>, String> {
    let (name, text) = match text.strip_prefix('@') {
        Some(file) => {
            let read = std::fs::read(Path::new(file)).map_err(|e| format!("{file}: {e}"))?;
            (file.to_owned(), read)
        }
        None => (format!("event {}", place + 1), text.as_bytes().to_vec()),
    };
    Event::parse(&text, most).map_err(|e| format!("{name}: {e}"))?;
    Ok(text)
}

fn publish(whom: &Whom, mark: Option<&str>, events: &[String]) -> Result<Verdict, Vec<String>> {
    let setting = RelayServerConfig::load(&whom.settings)?;
    if setting.voters().next().is_none() {
        return Err(vec![format!("{}: no member votes: nobody takes events", whom.settings.display())]);
    }
    let read = events.iter().enumerate().map(|(i, text)| event(i, text, setting.relay.event_bytes));
    let (mut bodies, mut faults) = (Vec::new(), Vec::new());
    for one in read {
        match one {
            Ok(body) => bodies.push(body),
            Err(why) => faults.push(why),
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let made = format!("{}-{}", unix(), std::process::id());
    let voters: Vec<MemberForm> = setting.voters().copied().collect();
    let mut publisher = Publisher::new(&voters);
    for (i, body) in bodies.iter().enumerate() {
        let mark = match mark {
            Some(mark) if bodies.len() == 1 => mark.to_owned(),
            Some(mark) => format!("{mark}-{}", i + 1),
            None => format!("{made}-{}", i + 1),
        };
        match publisher.publish(&mark, body, whom.time()) {
            Ok(n) => println!("{n}"),
            Err(no) => {
                eprintln!("event {} of {}: {no}", i + 1, bodies.len());
                if let PublishCallError::TimedOut { .. } = no {
                    eprintln!("whether it will be told is not known: publish it again with --mark {mark}");
                }
                return Ok(Verdict::Refused);
            }
        }
    }
    Ok(Verdict::Well)
}
