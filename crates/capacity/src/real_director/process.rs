//! One director as a child process: its start, its processor time and its descriptors.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::DirectorCommand;
use crate::MeasurementError;

pub(super) const SAMPLE_CONFIG: &str = include_str!("../../../../deploy/sample.json");

/// Returns a loopback address that was free a moment ago.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A running director, killed when it is dropped.
pub(super) struct Director {
    pub(super) child: Child,
    pub(super) address: SocketAddr,
    config: PathBuf,
}

impl Drop for Director {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// What makes a director a voter: its number, its address, and the file with its coordination settings.
pub(super) struct VoterSetup<'a> {
    pub(super) number: usize,
    pub(super) address: SocketAddr,
    pub(super) coordination_file: &'a Path,
}

impl Director {
    pub(super) fn start(
        program: DirectorCommand,
        feed: SocketAddr,
        endpoints: &[Value],
        voter: Option<VoterSetup>,
    ) -> Result<Director, MeasurementError> {
        let at = match &voter {
            Some(voter) => voter.address,
            None => free_address()?,
        };
        let mut all: Value = serde_json::from_str(SAMPLE_CONFIG).map_err(io::Error::from)?;
        all["listen"] = json!(at);
        all["feed"] = json!(feed);
        let list = json!({"index": 0, "snapshot": true, "endpoints": endpoints});
        all["known"] = json!({"n": 1, "events": [{"n": 1, "members": list}]});
        all["settings"]["zones"] = (0..64).map(|z| format!("zone-{z:02}")).collect();
        all["settings"]["az"] = json!(32);
        all["settings"]["extra"]["multiPart"] = json!([false, false]);
        all["settings"]["extra"]["zoneBalancers"] = json!(vec![59; 64]);
        let mut command = program();
        command.env_remove("SABLECROSS_DUTY");
        if let Some(voter) = voter {
            all["settings"]["index"] = json!(voter.number);
            // Each member has a connection, and clients may have a third of these.
            all["limits"]["sockets"] = json!(4_096);
            command.env("SABLECROSS_DUTY", voter.coordination_file);
        }
        let config = std::env::temp_dir().join(format!("slopes-{}-{}.json", std::process::id(), at.port()));
        std::fs::write(&config, all.to_string())?;
        command.env("NODE_CONFIG", &config);
        let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let director = Director { child, address: at, config };
        let started = Instant::now();
        while TcpStream::connect(at).is_err() {
            if started.elapsed() > Duration::from_secs(10) {
                return Err(MeasurementError::DirectorNotServing);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(director)
    }

    /// Returns the processor time of all threads in microseconds.
    pub(super) fn cpu_micros(&self) -> io::Result<f64> {
        let mut sum = 0.0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            sum += text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0);
        }
        Ok(sum / 1e3)
    }

    /// Returns the processor time over `span` in percent of a core.
    pub(super) fn cpu_percent(&self, span: Duration) -> io::Result<f64> {
        let (before, started) = (self.cpu_micros()?, Instant::now());
        thread::sleep(span);
        Ok((self.cpu_micros()? - before) / started.elapsed().as_secs_f64() / 1e4)
    }

    pub(super) fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }
}
