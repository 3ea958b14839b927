//! Health checks and fetch requests on the wire: the `METER` line with a tag that carries the fencing token, the answer
//! to it, and the `PULL` line of a fetch.

#[cfg(test)]
mod tests;

use std::fmt;
use std::str::FromStr;

use sablecross_coordination::messages::HealthState;
use sablecross_coordination::{FencingToken, HotObject, Member};
use sablecross_inflight::settings;
use thiserror::Error;

/// Identifies a health check or a fetch. Its text form has four hexadecimal numbers: the term, the holder's number and
/// incarnation, and the sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckTag {
    /// The fencing token of the holder that sent it. A node rejects older tokens.
    pub token: FencingToken,
    /// The number of this check or fetch among those of the director.
    pub sequence: u64,
}

impl fmt::Display for HealthCheckTag {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let FencingToken { term, holder } = self.token;
        write!(f, "{term:x}-{:x}-{:x}-{:x}", holder.number, holder.incarnation, self.sequence)
    }
}

/// The error for a text that is not a tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not four hexadecimal numbers joined by hyphens")]
pub struct InvalidTag;

impl FromStr for HealthCheckTag {
    type Err = InvalidTag;

    fn from_str(text: &str) -> Result<HealthCheckTag, InvalidTag> {
        let mut numbers = text.split('-').map(|part| u64::from_str_radix(part, 16).map_err(|_| InvalidTag));
        let mut next = || numbers.next().unwrap_or(Err(InvalidTag));
        let (term, number, incarnation, sequence) = (next()?, next()?, next()?, next()?);
        let number = u32::try_from(number).map_err(|_| InvalidTag)?;
        let holder = Member { number, incarnation };
        Ok(HealthCheckTag { token: FencingToken { term, holder }, sequence })
    }
}

/// Returns the line that asks a node to report its health.
pub(super) fn check_request(tag: HealthCheckTag) -> String {
    format!("METER {tag}\r\n")
}

/// Returns the line that tells a cache to fetch an object from the node `source` on behalf of the fleet.
pub(super) fn fetch_request(
    request_id: &str,
    object: &HotObject,
    class: &str,
    source: &str,
    wait_ms: u64,
    tag: HealthCheckTag,
) -> String {
    let HotObject { object: key, part, .. } = object;
    format!(
        "PULL {request_id} class={class},key={key:016x},part={part},wait={wait_ms},miss={source},prio=1,f=collapse,duty={tag} 0\r\n\r\n"
    )
}

/// A node's answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CheckAnswer {
    /// The tag of the check.
    pub(super) tag: HealthCheckTag,
    /// The node's health, or the newer fencing token that the node has already accepted.
    pub(super) result: Result<HealthState, FencingToken>,
}

/// Parses an answer to a health check. Returns `None` if the line is not one.
pub(super) fn parse_answer(line: &str) -> Option<CheckAnswer> {
    let mut words = line.trim_end().split(' ');
    let (tag, status, fields) = (words.next()?.parse().ok()?, words.next()?, words.next()?);
    let mut fields = fields.split(',').filter_map(|field| field.split_once('='));
    let mut field = |name: &str| fields.find(|field| field.0 == name).map(|field| field.1);
    let result = match status {
        "READY" => {
            let values =
                field("stats").unwrap_or_default().split(';').filter_map(|value| value.split_once(':'));
            let load =
                settings::load_report(values.filter_map(|(name, value)| Some((name, value.parse().ok()?))));
            Ok(HealthState::Healthy(load.cpu_utilization.map(|utilization| utilization as f32)))
        }
        "AILING" => Ok(HealthState::Unhealthy),
        "STALE" => Err(field("newest")?.parse::<HealthCheckTag>().ok()?.token),
        _ => return None,
    };
    Some(CheckAnswer { tag, result })
}
