//! What directors that vote use: five of them as processes, the other members as threads.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sablecross::mix;
use sablecross_coordination::messages::{ASSIGNMENT_ROLE, Message, Reply, Request};
use sablecross_coordination::{Action, Coordinator, Member, Ns};
use sablecross_director::coordination::call_member;
use sablecross_director::limits::Limits;
use sablecross_director::name_table::PEER_CALL_METHOD;
use sablecross_director::wire::rpc;

use super::process::{Director, VoterSetup, free_address};
use super::stub_server::{QUIET, serve_connections, serve_feed};
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
    let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
    let body = rmp_serde::to_vec(request).map_err(|e| io::Error::other(e.to_string()))?;
    stream.write_all(&rpc::encode_call(number, PEER_CALL_METHOD, &body))?;
    let (mut bytes, mut more) = (Vec::new(), [0; 4_096]);
    loop {
        match rpc::decode_response(&bytes, limits) {
            Ok((_, Some(body), _)) => return rmp_serde::from_slice(body).map_err(|e| bad(e.to_string())),
            Ok((_, None, _)) => return Err(io::ErrorKind::Unsupported.into()),
            Err(rpc::DecodeError::Invalid(why)) => return Err(bad(why.to_string())),
            Err(rpc::DecodeError::Incomplete) => match stream.read(&mut more)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => bytes.extend_from_slice(&more[..n]),
            },
        }
    }
}

/// Runs a member without clients, with a connection to each voter, until `stop` is set.
fn run_member(number: u32, voters: &[SocketAddr], started: Instant, stop: &AtomicBool) -> io::Result<()> {
    let now = || started.elapsed().as_nanos() as Ns + 1;
    let limits = Limits::new(64, 64, 0, 0);
    let streams = voters.iter().map(|at| {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        Ok(stream)
    });
    let mut streams = streams.collect::<io::Result<Vec<TcpStream>>>()?;
    let me = Member { number, incarnation: 1 };
    let mut coordinator = Coordinator::new(me, coordination_config(), mix(number.into()), now());
    while !stop.load(Ordering::Relaxed) {
        coordinator.step(now());
        for action in coordinator.take_actions() {
            let Action::Call { voter, call_id: number, messages } = action else { continue };
            let request = Request { from: me, messages };
            let replies = call_voter(&mut streams[voter as usize], number as u32 + 1, &request, &limits)?;
            coordinator.on_replies(now(), voter, number, replies);
        }
        let next = coordinator.next_wakeup().saturating_sub(now()).clamp(MS, 100 * MS);
        thread::sleep(Duration::from_nanos(next));
    }
    Ok(())
}

fn is_assigner(at: SocketAddr) -> io::Result<bool> {
    let request = Request { from: Member::default(), messages: vec![Message::ShowStatus] };
    let replies = call_member(at, &request, Duration::from_secs(2))?;
    let status =
        replies.into_iter().filter_map(|s| if let Reply::Status(status) = s { Some(status) } else { None });
    Ok(status.flat_map(|s| s.roles).any(|role| role.role == ASSIGNMENT_ROLE && role.own_lease.is_some()))
}

/// Processor time, in percent of a core, of a plain voter and of the one that holds the assignment role, among so many
/// members, the voters included.
fn measure_voting(program: DirectorCommand, members: u32) -> Result<[f64; 2], MeasurementError> {
    let feed = serve_connections(move |stream, stop| serve_feed(stream, stop, QUIET))?;
    let voters = (0..VOTERS).map(|_| free_address()).collect::<io::Result<Vec<SocketAddr>>>()?;
    let coordination_file =
        std::env::temp_dir().join(format!("slopes-duty-{}-{members}.scm", std::process::id()));
    let mut text = String::from("(duty (lease-ms . 1000) (beat-ms . 500) (probing . #f))\n");
    for (number, at) in voters.iter().enumerate() {
        text += &format!("(voter (number . {number}) (address . \"{at}\"))\n");
    }
    std::fs::write(&coordination_file, text)?;
    let start = |(number, at): (usize, &SocketAddr)| {
        Director::start(
            program,
            feed.address,
            &[],
            Some(VoterSetup { number, address: *at, coordination_file: &coordination_file }),
        )
    };
    let all = voters.iter().enumerate().map(start).collect::<Result<Vec<Director>, MeasurementError>>()?;
    let (started, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let threads: Vec<_> = (VOTERS..members)
        .map(|number| {
            let (voters, stop) = (voters.clone(), Arc::clone(&stop));
            thread::spawn(move || run_member(number, &voters, started, &stop))
        })
        .collect();
    // Twice the time after which a silent member counts as failed.
    thread::sleep(Duration::from_secs(11));
    let assigner = voters.iter().position(|at| is_assigner(*at).unwrap_or(false));
    let before = all.iter().map(Director::cpu_micros).collect::<io::Result<Vec<f64>>>()?;
    let started = Instant::now();
    thread::sleep(MEASUREMENT_SPAN);
    let after = all.iter().map(Director::cpu_micros).collect::<io::Result<Vec<f64>>>()?;
    let span = started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    let lost = threads.into_iter().filter_map(|t| t.join().ok()?.err()).next();
    // The directors have read the file; one that is left behind does no harm.
    let _ = std::fs::remove_file(&coordination_file);
    if let Some(source) = lost {
        return Err(MeasurementError::VoterLost { members, source });
    }
    let assigner = assigner.filter(|d| is_assigner(voters[*d]).unwrap_or(false));
    let assigner = assigner.ok_or(MeasurementError::NoSteadyAssigner { members })?;
    let cores: Vec<f64> = after.iter().zip(before).map(|(a, b)| (a - b) / span / 1e4).collect();
    let others = cores.iter().enumerate().filter(|(n, _)| *n != assigner).map(|(_, core)| *core);
    Ok([others.sum::<f64>() / f64::from(VOTERS - 1), cores[assigner]])
}

pub(crate) fn measure_voters(program: DirectorCommand) -> Result<Vec<Cost>, MeasurementError> {
    let sizes = [13.0, 50.0, 100.0, 200.0, 400.0];
    let mut samples = vec![[const { Vec::new() }; 2]; sizes.len()];
    for _ in 0..ROUNDS {
        for (members, samples) in sizes.iter().zip(&mut samples) {
            let [voter, assigner] = measure_voting(program, *members as u32)?;
            samples[0].push(voter);
            samples[1].push(assigner);
        }
    }
    let of = |n: usize| points(&sizes, samples.iter().map(|s| median(s[n].clone())));
    let what = ["a real director that votes, with sockets", "the one of them that deals, with sockets"];
    Ok(vec![
        cost("real-voter-time", what[0], "members", PERCENT_OF_CORE, of(0)),
        cost("real-dealer-time", what[1], "members", PERCENT_OF_CORE, of(1)),
    ])
}
