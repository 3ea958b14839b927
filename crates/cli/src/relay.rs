//! The command `sablecross relay`, which runs a relay, shows the status of all relays, and publishes events.

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

use crate::CommandOutcome;

/// The maximum size of a status response.
const MAX_STATUS_BYTES: usize = 64 << 20;

#[derive(Args)]
pub(crate) struct Target {
    /// The settings file of any relay; all members in it are called.
    #[arg(long)]
    settings: PathBuf,
    /// The timeout of each call in seconds; for `publish`, the time in which a voter must accept or reject each event.
    #[arg(long, default_value_t = 5.0)]
    time: f64,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs a relay until SIGTERM, on which it hands over leadership; SIGUSR1 writes its status to the log.
    Run {
        /// The settings file of the relay: see docs/relay-operators.md.
        file: PathBuf,
        /// Exits when the parent process exits; standard input must be a pipe that the parent holds open.
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Shows all relays and their subscribers. Changes nothing.
    Show {
        #[command(flatten)]
        target: Target,
        /// The number of an event; also shows since when it is in force everywhere, or where it is missing.
        #[arg(long)]
        number: Option<u64>,
        #[arg(long)]
        json: bool,
    },
    /// Publishes events and prints their numbers. Each event is JSON without a number.
    Publish {
        #[command(flatten)]
        target: Target,
        /// Idempotency key: while the log keeps an event, publishing again with its key only returns its number. With
        /// several events, -1, -2 and so on are appended. Without the option, a key is generated.
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
            let config = RelayServerConfig::load(file)?;
            if *with_parent {
                sablecross_relay_server::process::exit_with_parent();
            }
            sablecross_relay_server::process::run(config)
                .map_err(|e| vec![format!("{}: {e}", file.display())])?;
            Ok(CommandOutcome::Success)
        }
        Command::Show { target, number, json } => show(target, *number, *json),
        Command::Publish { target, mark, events } => publish(target, mark.as_deref(), events),
    }
}

/// The results of asking all relays for their status.
struct FetchedStatuses {
    statuses: Vec<RelayStatus>,
    /// The numbers of relays that sent no status, each with the reason.
    unreachable: Vec<(u32, String)>,
}

/// Fetches the statuses of all members concurrently, so that one that hangs does not delay the others.
fn fetch_statuses(members: &[MemberForm], timeout: Duration) -> FetchedStatuses {
    let results: Vec<(u32, Result<RelayStatus, String>)> = std::thread::scope(|scope| {
        let fetches: Vec<_> = members
            .iter()
            .map(|member| (member.number, scope.spawn(move || fetch_status(member.address, timeout))))
            .collect();
        let joined = fetches
            .into_iter()
            .map(|(number, fetch)| (number, fetch.join().unwrap_or(Err("no answer".into()))));
        joined.collect()
    });
    let mut fetched = FetchedStatuses { statuses: Vec::new(), unreachable: Vec::new() };
    for (number, result) in results {
        match result {
            Ok(status) => fetched.statuses.push(status),
            Err(reason) => fetched.unreachable.push((number, reason)),
        }
    }
    fetched
}

fn fetch_status(address: SocketAddr, timeout: Duration) -> Result<RelayStatus, String> {
    let mut client = PeerClient::new(address, timeout, MAX_STATUS_BYTES);
    let response =
        client.request("GET", "/v1/status", "Connection: close\r\n", b"").map_err(|e| e.to_string())?;
    if response.code != 200 {
        return Err(format!("GET /v1/status returned code {}", response.code));
    }
    serde_json::from_slice(&response.body).map_err(|e| format!("the status can't be decoded: {e}"))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn age(since_unix_ms: u64) -> String {
    format!("{:.1} s ago", seconds(unix_ms().saturating_sub(since_unix_ms)))
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1e3
}

fn show(target: &Target, number: Option<u64>, as_json: bool) -> Result<CommandOutcome, Vec<String>> {
    let config = RelayServerConfig::load(&target.settings)?;
    let FetchedStatuses { statuses, unreachable } = fetch_statuses(&config.members, target.timeout());
    let fleet = merge_statuses(&statuses);
    let applied = number.map(|number| fleet.applied_status(number));
    let has_leader = statuses.iter().any(|status| status.role == RelayRole::Leader);
    let needs_leader = config.voters().next().is_some();
    let is_applied =
        applied.as_ref().is_none_or(|applied| applied.missing.is_empty() && applied.since_unix_ms.is_some());
    let is_success = unreachable.is_empty() && (has_leader || !needs_leader) && is_applied;
    if as_json {
        let unreachable: Vec<Value> =
            unreachable.iter().map(|(number, reason)| json!({"number": number, "why": reason})).collect();
        println!(
            "{}",
            json!({"relays": statuses, "silent": unreachable, "whole": fleet, "in_force": applied})
        );
    } else {
        statuses.iter().for_each(print_status);
        for (number, reason) in &unreachable {
            println!("relay-{number:<4} no answer: {reason}");
        }
        if let Some(applied) = applied {
            print_applied(&applied, fleet.last_number);
        }
    }
    Ok(if is_success { CommandOutcome::Success } else { CommandOutcome::Rejected })
}

fn print_status(status: &RelayStatus) {
    let staleness = status.staleness_ms.map_or("never".into(), |ms| format!("{:.1} s", seconds(ms)));
    let connected = status.subscribers.iter().filter(|subscriber| subscriber.connected).count();
    let missing = status.subscribers.iter().filter(|subscriber| subscriber.missing).count();
    let leader = status.leader.map_or("-".into(), |number| number.to_string());
    println!(
        "{:10} {:6} owner {leader} term {} fresh {staleness}  events {}..{} floor {} log {} KB  readers {connected}, {missing} missing",
        status.name,
        status.role,
        status.term,
        status.snapshot_number,
        status.last_number,
        status.floor,
        status.log_bytes / 1_000
    );
    if let Some(ms) = status.recovering_ms {
        println!("{:10} has restarted and recovers its log, for {:.1} s so far", "", seconds(ms));
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
            println!("{number}: in force at all known subscribers; since when is not known")
        }
        None => println!("{number}: not in force everywhere"),
    }
    applied.missing.iter().for_each(print_missing);
}

fn print_missing(subscriber: &MergedSubscriber) {
    let MergedSubscriber { name, number, last_seen_unix_ms, connected, relay } = subscriber;
    let state = if *connected { "connected" } else { "gone" };
    match last_seen_unix_ms {
        Some(seen) => {
            println!("  missing at {name}: has {number}, {state}, last seen {} by {relay}", age(*seen))
        }
        None => println!("  missing at {name}: never seen, expected by {relay}"),
    }
}

/// Reads an event that is given on the command line as JSON or as @FILE, and checks it.
fn read_event(index: usize, text: &str, max_bytes: usize) -> Result<Vec<u8>, String> {
    let (name, text) = match text.strip_prefix('@') {
        Some(file) => {
            let text = std::fs::read(Path::new(file)).map_err(|e| format!("{file}: {e}"))?;
            (file.to_owned(), text)
        }
        None => (format!("event {}", index + 1), text.as_bytes().to_vec()),
    };
    Event::parse(&text, max_bytes).map_err(|e| format!("{name}: {e}"))?;
    Ok(text)
}

/// Reads and checks all events, before any of them is published. Returns an error for each that can't be used.
fn read_events(texts: &[String], max_bytes: usize) -> Result<Vec<Vec<u8>>, Vec<String>> {
    let mut events = Vec::new();
    let mut errors = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        match read_event(index, text, max_bytes) {
            Ok(event) => events.push(event),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() { Ok(events) } else { Err(errors) }
}

fn publish(target: &Target, mark: Option<&str>, texts: &[String]) -> Result<CommandOutcome, Vec<String>> {
    let config = RelayServerConfig::load(&target.settings)?;
    if config.voters().next().is_none() {
        return Err(vec![format!(
            "{}: no member is a voter, so no relay accepts events",
            target.settings.display()
        )]);
    }
    let events = read_events(texts, config.relay.event_bytes)?;
    let generated = format!("{}-{}", unix_ms(), std::process::id());
    let voters: Vec<MemberForm> = config.voters().copied().collect();
    let mut publisher = Publisher::new(&voters);
    for (index, event) in events.iter().enumerate() {
        let position = index + 1;
        let key = match mark {
            Some(mark) if events.len() == 1 => mark.to_owned(),
            Some(mark) => format!("{mark}-{position}"),
            None => format!("{generated}-{position}"),
        };
        match publisher.publish(&key, event, target.timeout()) {
            Ok(number) => println!("{number}"),
            Err(error) => {
                eprintln!("event {position} of {}: {error}", events.len());
                if let PublishCallError::TimedOut { .. } = error {
                    eprintln!(
                        "whether it will be committed is not known: publish it again with --mark {key}"
                    );
                }
                return Ok(CommandOutcome::Rejected);
            }
        }
    }
    Ok(CommandOutcome::Success)
}
