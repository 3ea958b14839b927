//! Measures directors that vote. Five directors run as processes; the other members run as threads.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sablecross::split_mix64;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, Message, Reply, Request};
use sablecross_coordination::{Action, Coordinator, Member, Ns};
use sablecross_director::coordination::call_member;
use sablecross_director::limits::Limits;
use sablecross_director::name_table::PEER_CALL_METHOD;
use sablecross_director::wire::rpc;

use super::process::{Director, VoterSetup, free_address};
use super::stub_server::{KEEPALIVES_ONLY, serve_connections, serve_feed};
use super::{DirectorCommand, MEASUREMENT_SPAN, PERCENT_OF_CORE, ROUNDS, cost, points};
use crate::MeasurementError;
use crate::coordination::{MS, VOTERS, coordination_config};
use crate::cost::{Cost, median};

/// Sends one request to a voter and waits for its replies.
fn call_voter(
    stream: &mut TcpStream,
    number: u32,
    request: &Request,
    limits: &Limits,
) -> io::Result<Vec<Reply>> {
    let invalid_data = |_| io::Error::from(io::ErrorKind::InvalidData);
    let body = rmp_serde::to_vec(request).map_err(|e| io::Error::other(e.to_string()))?;
    stream.write_all(&rpc::encode_call(number, PEER_CALL_METHOD, &body))?;
    let (mut received, mut buffer) = (Vec::new(), [0; 4_096]);
    loop {
        match rpc::decode_response(&received, limits) {
            Ok((_, Some(body), _)) => {
                return rmp_serde::from_slice(body).map_err(|e| invalid_data(e.to_string()));
            }
            Ok((_, None, _)) => return Err(io::ErrorKind::Unsupported.into()),
            Err(rpc::DecodeError::Invalid(reason)) => return Err(invalid_data(reason.to_string())),
            Err(rpc::DecodeError::Incomplete) => match stream.read(&mut buffer)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => received.extend_from_slice(&buffer[..n]),
            },
        }
    }
}

/// Runs a member that has no clients and one connection to each voter, until `stop` is set.
fn run_member(number: u32, voters: &[SocketAddr], started: Instant, stop: &AtomicBool) -> io::Result<()> {
    let now = || started.elapsed().as_nanos() as Ns + 1;
    let limits = Limits::new(64, 64, 0, 0);
    let streams = voters.iter().map(|address| {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    });
    let mut streams = streams.collect::<io::Result<Vec<TcpStream>>>()?;
    let me = Member { number, incarnation: 1 };
    let mut coordinator = Coordinator::new(me, coordination_config(), split_mix64(number.into()), now());
    while !stop.load(Ordering::Relaxed) {
        coordinator.step(now());
        for action in coordinator.take_actions() {
            let Action::Call { voter, call_id, messages } = action else { continue };
            let request = Request { from: me, messages };
            let replies = call_voter(&mut streams[voter as usize], call_id as u32 + 1, &request, &limits)?;
            coordinator.on_replies(now(), voter, call_id, replies);
        }
        let next = coordinator.next_wakeup().saturating_sub(now()).clamp(MS, 100 * MS);
        thread::sleep(Duration::from_nanos(next));
    }
    Ok(())
}

fn is_assigner(address: SocketAddr) -> io::Result<bool> {
    let request = Request { from: Member::default(), messages: vec![Message::ShowStatus] };
    let replies = call_member(address, &request, Duration::from_secs(2))?;
    let status = replies
        .into_iter()
        .filter_map(|reply| if let Reply::Status(status) = reply { Some(status) } else { None });
    Ok(status
        .flat_map(|status| status.roles)
        .any(|role| role.role == ASSIGNMENT_ROLE && role.own_lease.is_some()))
}

/// Returns the processor time, in percent of a core, of a plain voter and of the voter that holds the assignment role.
/// `members` includes the voters.
fn measure_voting(director_command: DirectorCommand, members: u32) -> Result<[f64; 2], MeasurementError> {
    let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, KEEPALIVES_ONLY))?;
    let voters = (0..VOTERS).map(|_| free_address()).collect::<io::Result<Vec<SocketAddr>>>()?;
    let coordination_file =
        std::env::temp_dir().join(format!("slopes-duty-{}-{members}.scm", std::process::id()));
    let mut text = String::from("(duty (lease-ms . 1000) (beat-ms . 500) (probing . #f))\n");
    for (number, address) in voters.iter().enumerate() {
        text += &format!("(voter (number . {number}) (address . \"{address}\"))\n");
    }
    std::fs::write(&coordination_file, text)?;
    let start = |(number, address): (usize, &SocketAddr)| {
        Director::start(
            director_command,
            feed.address,
            &[],
            Some(VoterSetup { number, address: *address, coordination_file: &coordination_file }),
        )
    };
    let directors =
        voters.iter().enumerate().map(start).collect::<Result<Vec<Director>, MeasurementError>>()?;
    let (started, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let threads: Vec<_> = (VOTERS..members)
        .map(|number| {
            let (voters, stop) = (voters.clone(), Arc::clone(&stop));
            thread::spawn(move || run_member(number, &voters, started, &stop))
        })
        .collect();
    // The assignment is stable after twice the time in which a silent member counts as failed.
    thread::sleep(Duration::from_secs(11));
    let assigner = voters.iter().position(|address| is_assigner(*address).unwrap_or(false));
    let before = directors.iter().map(Director::cpu_micros).collect::<io::Result<Vec<f64>>>()?;
    let started = Instant::now();
    thread::sleep(MEASUREMENT_SPAN);
    let after = directors.iter().map(Director::cpu_micros).collect::<io::Result<Vec<f64>>>()?;
    let span = started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    let first_error = threads.into_iter().filter_map(|t| t.join().ok()?.err()).next();
    // The directors have read the file. If it can't be removed, it stays in the temporary folder.
    let _ = std::fs::remove_file(&coordination_file);
    if let Some(source) = first_error {
        return Err(MeasurementError::VoterLost { members, source });
    }
    let assigner = assigner.filter(|index| is_assigner(voters[*index]).unwrap_or(false));
    let assigner = assigner.ok_or(MeasurementError::NoSteadyAssigner { members })?;
    let cpu_percents: Vec<f64> = after.iter().zip(before).map(|(a, b)| (a - b) / span / 1e4).collect();
    let others =
        cpu_percents.iter().enumerate().filter(|(n, _)| *n != assigner).map(|(_, cpu_percent)| *cpu_percent);
    Ok([others.sum::<f64>() / f64::from(VOTERS - 1), cpu_percents[assigner]])
}

pub(crate) fn measure_voters(director_command: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [13.0, 50.0, 100.0, 200.0, 400.0];
    let mut samples = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (members, samples) in sizes.iter().zip(&mut samples) {
            let [voter, assigner] = measure_voting(director_command, *members as u32)?;
            samples[0].push(voter);
            samples[1].push(assigner);
        }
    }
    let points_of = |n: usize| points(&sizes, samples.iter().map(|s| median(s[n].clone())));
    let descriptions = [
        "a real director that votes, with sockets",
        "the voter that holds the assignment role, with sockets",
    ];
    Ok(vec![
        cost("real-voter-time", descriptions[0], "members", PERCENT_OF_CORE, points_of(0)),
        cost("real-dealer-time", descriptions[1], "members", PERCENT_OF_CORE, points_of(1)),
    ])
}
