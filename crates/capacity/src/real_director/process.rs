//! Runs a director as a child process and reads its processor time and its file descriptors.

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

/// Returns a loopback address that was free when it was checked. Another process may take it before it is used.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A running director process, which is killed when this value is dropped.
pub(super) struct Director {
    pub(super) child: Child,
    pub(super) address: SocketAddr,
    config: PathBuf,
}

impl Drop for Director {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// The settings of a director that votes: its number, its address, and the file with its coordination settings.
pub(super) struct VoterSetup<'a> {
    pub(super) number: usize,
    pub(super) address: SocketAddr,
    pub(super) coordination_file: &'a Path,
}

impl Director {
    pub(super) fn start(
        director_command: DirectorCommand,
        feed: SocketAddr,
        endpoints: &[Value],
        voter: Option<VoterSetup>,
    ) -> Result<Director, MeasurementError> {
        let address = match &voter {
            Some(voter) => voter.address,
            None => free_address()?,
        };
        let mut config_json: Value = serde_json::from_str(SAMPLE_CONFIG).map_err(io::Error::from)?;
        config_json["listen"] = json!(address);
        config_json["feed"] = json!(feed);
        let members = json!({"index": 0, "snapshot": true, "endpoints": endpoints});
        config_json["known"] = json!({"n": 1, "events": [{"n": 1, "members": members}]});
        config_json["settings"]["zones"] = (0..64).map(|z| format!("zone-{z:02}")).collect();
        config_json["settings"]["az"] = json!(32);
        config_json["settings"]["extra"]["multiPart"] = json!([false, false]);
        config_json["settings"]["extra"]["zoneBalancers"] = json!(vec![59; 64]);
        let mut command = director_command();
        command.env_remove("SABLECROSS_DUTY");
        if let Some(voter) = voter {
            config_json["settings"]["index"] = json!(voter.number);
            // Each member holds a connection to each voter, and clients may use only a third of the sockets.
            config_json["limits"]["sockets"] = json!(4_096);
            command.env("SABLECROSS_DUTY", voter.coordination_file);
        }
        let config =
            std::env::temp_dir().join(format!("slopes-{}-{}.json", std::process::id(), address.port()));
        std::fs::write(&config, config_json.to_string())?;
        command.env("NODE_CONFIG", &config);
        let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let director = Director { child, address, config };
        let started = Instant::now();
        while TcpStream::connect(address).is_err() {
            if started.elapsed() > Duration::from_secs(10) {
                return Err(MeasurementError::DirectorNotServing);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(director)
    }

    /// Returns the processor time of all threads in microseconds.
    pub(super) fn cpu_micros(&self) -> io::Result<f64> {
        let mut total_ns = 0.0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            total_ns += text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0);
        }
        Ok(total_ns / 1e3)
    }

    /// Waits for `span` and returns the processor time used meanwhile, in percent of a core.
    pub(super) fn cpu_percent(&self, span: Duration) -> io::Result<f64> {
        let (before, started) = (self.cpu_micros()?, Instant::now());
        thread::sleep(span);
        Ok((self.cpu_micros()? - before) / started.elapsed().as_secs_f64() / 1e4)
    }

    /// Returns the number of open file descriptors.
    pub(super) fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }
}
