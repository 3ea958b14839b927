//! A client for publishers: finds the leader among the voters, and sends it an event until a voter accepts or rejects
//! it.

use std::time::{Duration, Instant};

use serde::Deserialize;
use thiserror::Error;

use crate::peer_client::{HttpResponse, PeerClient};
use crate::settings::MemberForm;

const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Delay after each round, which has as many calls as there are voters.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// How long the client waits for one voter before it calls the next. A stopped leader must not cost more time than its
/// lease, after which there is another leader. A response takes some milliseconds; if one comes too late, the event is
/// sent again with the same idempotency key and gets the same result.
const VOTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why publishing an event failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishCallError {
    /// A voter rejected the event; every other voter would reject it, too.
    #[error("{0}")]
    Rejected(String),
    /// No voter accepted the event in time. It may still be committed: publish it again with the same key.
    #[error("no answer in {timeout:?}; the last failure was: {last_failure}")]
    TimedOut {
        /// The timeout of the call.
        timeout: Duration,
        /// Why the last call to a voter failed.
        last_failure: String,
    },
    /// No member is a voter, so no relay accepts events.
    #[error("no member is a voter, so no relay accepts events")]
    NoVoters,
}

/// The JSON body of a voter's response.
#[derive(Deserialize)]
struct ResponseBody {
    #[serde(rename = "n")]
    number: Option<u64>,
    error: Option<String>,
    #[serde(rename = "owner")]
    leader: Option<u32>,
}

/// Outcome of one call to one voter.
enum AttemptOutcome {
    Accepted(u64),
    Rejected(String),
    /// The call failed; another voter may accept the event.
    Failed {
        reason: String,
        leader: Option<u32>,
    },
}

#[derive(Debug)]
struct VoterClient {
    number: u32,
    client: PeerClient,
}

/// Publishes events one at a time, and remembers which voter was the leader.
#[derive(Debug)]
pub struct Publisher {
    voters: Vec<VoterClient>,
    /// Index of the voter to call next.
    current: usize,
}

impl Publisher {
    /// Creates a publisher that calls these voters.
    pub fn new(voters: &[MemberForm]) -> Publisher {
        let client = |member: &MemberForm| VoterClient {
            number: member.number,
            client: PeerClient::new(member.address, VOTER_TIMEOUT, MAX_RESPONSE_BYTES),
        };
        Publisher { voters: voters.iter().map(client).collect(), current: 0 }
    }

    /// Publishes an event, given as JSON, and returns its number. Voters are called until one accepts or rejects the
    /// event or `timeout` has passed.
    pub fn publish(
        &mut self,
        idempotency_key: &str,
        event: &[u8],
        timeout: Duration,
    ) -> Result<u64, PublishCallError> {
        let deadline = Instant::now() + timeout;
        let headers = format!("Sablecross-Mark: {idempotency_key}\r\n");
        let mut calls = 0;
        loop {
            let Some(voter) = self.voters.get_mut(self.current) else {
                return Err(PublishCallError::NoVoters);
            };
            calls += 1;
            let (reason, leader) = match voter.try_publish(&headers, event) {
                AttemptOutcome::Accepted(number) => return Ok(number),
                AttemptOutcome::Rejected(reason) => return Err(PublishCallError::Rejected(reason)),
                AttemptOutcome::Failed { reason, leader } => (reason, leader),
            };
            if Instant::now() >= deadline {
                return Err(PublishCallError::TimedOut { timeout, last_failure: reason });
            }
            let is_round_over = calls % self.voters.len() == 0;
            self.select_next_voter(leader, is_round_over);
            if is_round_over {
                std::thread::sleep(ROUND_DELAY);
            }
        }
    }

    /// Selects the voter that the last one named as the leader, if any, or else the next one. At the end of a round it
    /// is always the next one.
    fn select_next_voter(&mut self, leader: Option<u32>, is_round_over: bool) {
        let next = (self.current + 1) % self.voters.len();
        let leader = leader.and_then(|number| self.voters.iter().position(|voter| voter.number == number));
        self.current = leader.filter(|_| !is_round_over).unwrap_or(next);
    }
}

impl VoterClient {
    fn try_publish(&mut self, headers: &str, event: &[u8]) -> AttemptOutcome {
        let address = self.client.address();
        match self.client.request("POST", "/v1/events", headers, event) {
            Ok(response) => self.read_response(&response),
            Err(error) => failed_attempt(format!("{address}: {error}")),
        }
    }

    fn read_response(&self, response: &HttpResponse) -> AttemptOutcome {
        let (address, code) = (self.client.address(), response.code);
        let Ok(body) = serde_json::from_slice::<ResponseBody>(&response.body) else {
            return failed_attempt(format!("{address}: response status {code}"));
        };
        match body {
            ResponseBody { number: Some(number), .. } if code == 200 => AttemptOutcome::Accepted(number),
            ResponseBody { error: Some(error), .. } if code != 503 => AttemptOutcome::Rejected(error),
            ResponseBody { error: Some(error), leader, .. } => AttemptOutcome::Failed {
                reason: format!("{address}: {error}"),
                leader: leader.filter(|leader| *leader != self.number),
            },
            _ => failed_attempt(format!("{address}: response status {code}")),
        }
    }
}

fn failed_attempt(reason: String) -> AttemptOutcome {
    AttemptOutcome::Failed { reason, leader: None }
}
