//! `sablecross relay ...`: runs a relay, shows what the tier knows, publishes events.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use sablecross_relay::subscribers::{AppliedStatus, MergedSubscriber};
use sablecross_relay::{Event, RelayStatus, merge_statuses};
use sablecross_relay_server::RelayServerConfig;
use sablecross_relay_server::peer_client::PeerClient;
use sablecross_relay_server::publisher::{PublishCallError, Publisher};
use sablecross_relay_server::settings::MemberForm;
use serde_json::{Value, json};

use crate::CommandOutcome;

/// The longest status that is read.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Which relays are asked.
#[derive(Args)]
pub(crate) struct Target {
    /// The settings of any relay: all members are asked.
    #[arg(long)]
    settings: PathBuf,
    /// Seconds that each is waited for; `publish`: that an owner is looked for.
    #[arg(long, default_value_t = 5.0)]
    time: f64,
}

#[derive(Subcommand)]
pub(crate) enum Command {
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
        target: Target,
        #[arg(long)]
        number: Option<u64>,
        #[arg(long)]
        json: bool,
    },
    /// Publishes events, each as JSON without its number, and prints the numbers under which they are told.
    Publish {
        #[command(flatten)]
        target: Target,
        /// By which the event is known again, so that it is told once however often it is published; several events
        /// get this with -1, -2 and so on. By itself one is made up.
        #[arg(long)]
        mark: Option<String>,
        /// JSON, or @FILE
        #[arg(required = true)]
        events: Vec<String>,
    },
}

impl Target {
    fn timeout(&self) -> Duration {
        Duration::from_secs_f64(self.time.clamp(0.01, 3_600.0))
    }
}

pub(crate) fn run(command: &Command) -> Result<CommandOutcome, Vec<String>> {
    match command {
        Command::Run { file, with_parent } => {
            let setting = RelayServerConfig::load(file)?;
            if *with_parent {
                sablecross_relay_server::process::exit_with_parent();
            }
            sablecross_relay_server::process::run(setting)
                .map_err(|e| vec![format!("{}: {e}", file.display())])?;
            Ok(CommandOutcome::Success)
        }
        Command::Show { target, number, json } => show(target, *number, *json),
        Command::Publish { target, mark, events } => publish(target, mark.as_deref(), events),
    }
}

fn relay_status(address: SocketAddr, timeout: Duration) -> Result<RelayStatus, String> {
    let mut client = PeerClient::new(address, timeout, MAX_REPLY_BYTES);
    let (code, body) =
        client.request("GET", "/v1/status", "Connection: close\r\n", b"").map_err(|e| e.to_string())?;
    if code != 200 {
        return Err(format!("answer {code}"));
    }
    serde_json::from_slice(&body).map_err(|e| format!("its status can't be read: {e}"))
}

/// A relay that did not answer, and why.
struct SilentRelay {
    number: u32,
    why: String,
}

/// Asks all relays at the same time, so that one that hangs delays no other.
fn relay_statuses(config: &RelayServerConfig, timeout: Duration) -> (Vec<RelayStatus>, Vec<SilentRelay>) {
    let mut statuses = Vec::new();
    let mut silent = Vec::new();
    std::thread::scope(|scope| {
        let ask = |member: &MemberForm| {
            let address = member.address;
            (member.number, scope.spawn(move || relay_status(address, timeout)))
        };
        let threads: Vec<_> = config.members.iter().map(ask).collect();
        for (number, thread) in threads {
            match thread.join().unwrap_or(Err("no answer".into())) {
                Ok(status) => statuses.push(status),
                Err(why) => silent.push(SilentRelay { number, why }),
            }
        }
    });
    (statuses, silent)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn age(since_unix_ms: u64) -> String {
    format!("{:.1} s ago", unix_ms().saturating_sub(since_unix_ms) as f64 / 1e3)
}

fn show(target: &Target, number: Option<u64>, as_json: bool) -> Result<CommandOutcome, Vec<String>> {
    let config = RelayServerConfig::load(&target.settings)?;
    let (statuses, silent) = relay_statuses(&config, target.timeout());
    let fleet = merge_statuses(&statuses);
    let applied = number.map(|number| fleet.applied_status(number));
    let has_leader = statuses.iter().any(|status| status.role == "owner");
    let is_served = has_leader || config.voters().next().is_none();
    let is_applied = applied.as_ref().is_none_or(|a| a.missing.is_empty() && a.since_unix_ms.is_some());
    let is_well = silent.is_empty() && is_served && is_applied;
    if as_json {
        let silent: Vec<Value> =
            silent.iter().map(|relay| json!({"number": relay.number, "why": relay.why})).collect();
        println!("{}", json!({"relays": statuses, "silent": silent, "whole": fleet, "in_force": applied}));
    } else {
        statuses.iter().for_each(print_relay);
        for relay in &silent {
            println!("relay-{:<4} no answer: {}", relay.number, relay.why);
        }
        if let Some(applied) = applied {
            print_applied(&applied, fleet.last_number);
        }
    }
    Ok(if is_well { CommandOutcome::Success } else { CommandOutcome::Rejected })
}

fn print_relay(status: &RelayStatus) {
    let staleness = status.staleness_ms.map_or("never".into(), |ms| format!("{:.1} s", ms as f64 / 1e3));
    let connected = status.subscribers.iter().filter(|subscriber| subscriber.connected).count();
    let missing = status.subscribers.iter().filter(|subscriber| subscriber.missing).count();
    let leader = status.leader.map_or("-".into(), |leader| leader.to_string());
    println!(
        "{:10} {:6} leader {leader} term {} last heard {staleness}  events {}..{} floor {} log {} KB  readers {connected}, {missing} missing",
        status.name,
        status.role,
        status.term,
        status.snapshot_number,
        status.last_number,
        status.floor,
        status.log_bytes / 1_000
    );
    if let Some(ms) = status.recovering_ms {
        println!("{:10} has restarted and recovers the log, for {:.1} s so far", "", ms as f64 / 1e3);
    }
    if status.reset_unix_ms > 0 {
        println!("{:10} the log was reset {}", "", age(status.reset_unix_ms));
    }
}

fn print_applied(applied: &AppliedStatus, last: u64) {
    let number = applied.number;
    if number > last {
        println!("{number}: not told yet, the last is {last}");
    }
    match applied.since_unix_ms {
        Some(since) => println!("{number}: in force everywhere that counts since {since} ({})", age(since)),
        None if applied.missing.is_empty() => {
            println!("{number}: in force at all that are known; since when is not known")
        }
        None => println!("{number}: not in force everywhere"),
    }
    applied.missing.iter().for_each(print_missing);
}

fn print_missing(subscriber: &MergedSubscriber) {
    let MergedSubscriber { name, number, last_seen_unix_ms, connected, relay } = subscriber;
    let state = if *connected { "connected" } else { "gone" };
    match last_seen_unix_ms {
        Some(seen) => println!("  missing at {name}: has {number}, {state}, heard {} by {relay}", age(*seen)),
        None => println!("  missing at {name}: never heard, expected by {relay}"),
    }
}

/// The body of an event, checked before anything is published. `@FILE` reads it from a file.
fn event_body(index: usize, text: &str, max_bytes: usize) -> Result<Vec<u8>, String> {
    let (name, body) = match text.strip_prefix('@') {
        Some(file) => {
            let body = std::fs::read(Path::new(file)).map_err(|e| format!("{file}: {e}"))?;
            (file.to_owned(), body)
        }
        None => (format!("event {}", index + 1), text.as_bytes().to_vec()),
    };
    Event::parse(&body, max_bytes).map_err(|e| format!("{name}: {e}"))?;
    Ok(body)
}

/// The bodies of all events, or all that is wrong with them.
fn event_bodies(events: &[String], max_bytes: usize) -> Result<Vec<Vec<u8>>, Vec<String>> {
    let mut bodies = Vec::new();
    let mut errors = Vec::new();
    for (index, text) in events.iter().enumerate() {
        match event_body(index, text, max_bytes) {
            Ok(body) => bodies.push(body),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(bodies) } else { Err(errors) }
}

fn publish(target: &Target, mark: Option<&str>, events: &[String]) -> Result<CommandOutcome, Vec<String>> {
    let config = RelayServerConfig::load(&target.settings)?;
    if config.voters().next().is_none() {
        return Err(vec![format!("{}: no member votes: nobody takes events", target.settings.display())]);
    }
    let bodies = event_bodies(events, config.relay.event_bytes)?;
    let generated = format!("{}-{}", unix_ms(), std::process::id());
    let voters: Vec<MemberForm> = config.voters().copied().collect();
    let mut publisher = Publisher::new(&voters);
    for (index, body) in bodies.iter().enumerate() {
        let idempotency_key = match mark {
            Some(mark) if bodies.len() == 1 => mark.to_owned(),
            Some(mark) => format!("{mark}-{}", index + 1),
            None => format!("{generated}-{}", index + 1),
        };
        match publisher.publish(&idempotency_key, body, target.timeout()) {
            Ok(number) => println!("{number}"),
            Err(error) => {
                eprintln!("event {} of {}: {error}", index + 1, bodies.len());
                if let PublishCallError::TimedOut(..) = error {
                    eprintln!(
                        "whether it was taken is not known: publish it again with --mark {idempotency_key}"
                    );
                }
                return Ok(CommandOutcome::Rejected);
            }
        }
    }
    Ok(CommandOutcome::Success)
}
