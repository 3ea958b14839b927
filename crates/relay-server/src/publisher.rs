//! The publisher's side: looks for the owner, and publishes there under a mark until it is answered.

use std::time::{Duration, Instant};

use serde::Deserialize;
use thiserror::Error;

use crate::peer_client::PeerClient;
use crate::settings::MemberForm;

/// The longest answer.
const LONGEST: usize = 64 << 10;
/// Between two rounds of looking for the owner.
const PAUSE: Duration = Duration::from_millis(50);
/// For how long one voter is waited for, before another is asked: an owner that is stopped is to cost no more than the lease
/// after which there is another. An answer takes some milliseconds; one that comes later is had again by the mark.
const PATIENCE: Duration = Duration::from_secs(1);

/// Why an event has no number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishCallError {
    /// Another voter would say the same.
    #[error("{0}")]
    Rejected(String),
    /// Whether it will be told is not known: publish it again under the same mark.
    #[error("no answer in {0:?}; the last word was: {1}")]
    TimedOut(Duration, String),
    #[error("no member votes: nobody takes events")]
    NoVoters,
}

#[derive(Deserialize)]
struct Answer {
    n: Option<u64>,
    error: Option<String>,
    owner: Option<u32>,
}

/// Publishes, one event after another. It remembers who the owner was.
#[derive(Debug)]
pub struct Publisher {
    voters: Vec<(u32, PeerClient)>,
    at: usize,
}

impl Publisher {
    pub fn new(voters: &[MemberForm]) -> Publisher {
        let line = |m: &MemberForm| (m.number, PeerClient::new(m.address, PATIENCE, LONGEST));
        Publisher { voters: voters.iter().map(line).collect(), at: 0 }
    }

    /// Publishes the event's JSON; the number that it was told under. `time`: for how long an owner is looked for.
    pub fn publish(&mut self, mark: &str, event: &[u8], time: Duration) -> Result<u64, PublishCallError> {
        let by = Instant::now() + time;
        let mark = format!("Sablecross-Mark: {mark}\r\n");
        let mut asked = 0;
        loop {
            let voters = self.voters.len();
            let Some((number, line)) = self.voters.get_mut(self.at) else {
                return Err(PublishCallError::NoVoters);
            };
            let (number, at) = (*number, line.address());
            let said = line.request("POST", "/v1/events", &mark, event);
            asked += 1;
            let mut owner = None;
            let why = match said {
                Ok((code, body)) => match serde_json::from_slice::<Answer>(&body) {
                    Ok(Answer { n: Some(n), .. }) if code == 200 => return Ok(n),
                    Ok(Answer { error: Some(e), .. }) if code != 503 => {
                        return Err(PublishCallError::Rejected(e));
                    }
                    Ok(Answer { error: Some(e), owner: other, .. }) => {
                        owner = other.filter(|o| *o != number);
                        format!("{at}: {e}")
                    }
                    _ => format!("{at}: answer {code}"),
                },
                Err(e) => format!("{at}: {e}"),
            };
            if Instant::now() >= by {
                return Err(PublishCallError::TimedOut(time, why));
            }
            // Whom it takes for the owner is asked next, but now and then the others are, too.
            let named = owner.and_then(|o| self.voters.iter().position(|(n, _)| *n == o));
            let next = (self.at + 1) % voters;
            self.at = named.filter(|_| asked % voters != 0).unwrap_or(next);
            if asked % voters == 0 {
                std::thread::sleep(PAUSE);
            }
        }
    }
}
