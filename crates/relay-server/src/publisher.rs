//! A publisher's client: looks for the leader among the voters, and sends it an event until that is answered.

use std::time::{Duration, Instant};

use serde::Deserialize;
use thiserror::Error;

use crate::peer_client::{HttpResponse, PeerClient};
use crate::settings::MemberForm;

const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Between two rounds of looking for the leader.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// How long one voter is waited for before another is called: a leader that is stopped is to cost no more than the
/// lease after which there is another. A response takes some milliseconds; one that comes later is got again by the
/// idempotency key.
const VOTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an event has no number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishCallError {
    /// A voter rejected the event, and any other would.
    #[error("{0}")]
    Rejected(String),
    /// No voter has accepted it in time. It may be committed still: publish it again with the same key.
    #[error("no answer in {timeout:?}; the last failure was: {last_failure}")]
    TimedOut {
        /// How long a leader was looked for.
        timeout: Duration,
        /// What the last call came to.
        last_failure: String,
    },
    /// No member votes, so nobody accepts events.
    #[error("no member votes: nobody takes events")]
    NoVoters,
}

/// The body of a response.
#[derive(Deserialize)]
struct ResponseBody {
    #[serde(rename = "n")]
    number: Option<u64>,
    error: Option<String>,
    #[serde(rename = "owner")]
    leader: Option<u32>,
}

/// What a call of one voter came to.
enum Attempt {
    Accepted(u64),
    Rejected(String),
    /// Another voter may accept it.
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

/// Publishes one event after another, and remembers who the leader was.
#[derive(Debug)]
pub struct Publisher {
    voters: Vec<VoterClient>,
    /// Index of the voter to call next.
    current: usize,
}

impl Publisher {
    /// A publisher for these voters.
    pub fn new(voters: &[MemberForm]) -> Publisher {
        let client = |member: &MemberForm| VoterClient {
            number: member.number,
            client: PeerClient::new(member.address, VOTER_TIMEOUT, MAX_RESPONSE_BYTES),
        };
        Publisher { voters: voters.iter().map(client).collect(), current: 0 }
    }

    /// Publishes an event's JSON and returns its number. A leader is looked for as long as `timeout`.
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
                Attempt::Accepted(number) => return Ok(number),
                Attempt::Rejected(reason) => return Err(PublishCallError::Rejected(reason)),
                Attempt::Failed { reason, leader } => (reason, leader),
            };
            if Instant::now() >= deadline {
                return Err(PublishCallError::TimedOut { timeout, last_failure: reason });
            }
            let is_round_over = calls % self.voters.len() == 0;
            self.select_next(leader, is_round_over);
            if is_round_over {
                std::thread::sleep(ROUND_DELAY);
            }
        }
    }

    /// Calls whom the last voter takes for the leader; at the end of a round the next one in any case.
    fn select_next(&mut self, leader: Option<u32>, is_round_over: bool) {
        let next = (self.current + 1) % self.voters.len();
        let leader = leader.and_then(|number| self.voters.iter().position(|voter| voter.number == number));
        self.current = leader.filter(|_| !is_round_over).unwrap_or(next);
    }
}

impl VoterClient {
    fn try_publish(&mut self, headers: &str, event: &[u8]) -> Attempt {
        let address = self.client.address();
        match self.client.request("POST", "/v1/events", headers, event) {
            Ok(response) => self.read_response(&response),
            Err(error) => failed(format!("{address}: {error}")),
        }
    }

    fn read_response(&self, response: &HttpResponse) -> Attempt {
        let (address, code) = (self.client.address(), response.code);
        let Ok(body) = serde_json::from_slice::<ResponseBody>(&response.body) else {
            return failed(format!("{address}: answer {code}"));
        };
        match body {
            ResponseBody { number: Some(number), .. } if code == 200 => Attempt::Accepted(number),
            ResponseBody { error: Some(error), .. } if code != 503 => Attempt::Rejected(error),
            ResponseBody { error: Some(error), leader, .. } => Attempt::Failed {
                reason: format!("{address}: {error}"),
                leader: leader.filter(|leader| *leader != self.number),
            },
            _ => failed(format!("{address}: answer {code}")),
        }
    }
}

fn failed(reason: String) -> Attempt {
    Attempt::Failed { reason, leader: None }
}
