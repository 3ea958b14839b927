//! What is spoken with boxes that are probed: `METER`, with a tag that shows the token, and what comes back under it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use sablecross_coordination::messages::HealthState;
use sablecross_coordination::{FencingToken, HotObject, Member};
use sablecross_inflight::settings;

use super::connections::NodeConnection;

/// The tag of a probe: its token and a number, in hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckTag {
    pub token: FencingToken,
    pub sequence: u64,
}

impl fmt::Display for HealthCheckTag {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let FencingToken { term, holder: owner } = self.token;
        write!(f, "{term:x}-{:x}-{:x}-{:x}", owner.number, owner.incarnation, self.sequence)
    }
}

impl FromStr for HealthCheckTag {
    type Err = ();

    fn from_str(text: &str) -> Result<HealthCheckTag, ()> {
        let mut parts = text.split('-').map(|p| u64::from_str_radix(p, 16).map_err(drop));
        let mut next = || parts.next().ok_or(())?;
        let (term, number, life, count) = (next()?, next()?, next()?, next()?);
        let owner = Member { number: u32::try_from(number).map_err(drop)?, incarnation: life };
        Ok(HealthCheckTag { token: FencingToken { term, holder: owner }, sequence: count })
    }
}

pub struct CheckedNode {
    pub name: String,
    pub node: sablecross::Ns,
    pub connection: NodeConnection,
    /// Probes out, by number.
    pub outstanding_checks: BTreeMap<u64, FencingToken>,
    /// Bytes of a body that are still to come, and to be passed over.
    pub body_bytes_to_skip: usize,
}

impl CheckedNode {
    /// Its connection has ended: nothing that was out on it comes, nor the rest of a body.
    pub fn lost(&mut self) {
        self.outstanding_checks.clear();
        self.body_bytes_to_skip = 0;
    }
}

/// A request that has a cache fetch an object, on behalf of the fleet: the token goes along as a field.
pub fn fetch_request(
    name: &str,
    want: &HotObject,
    kind: &str,
    source: &str,
    wait_ms: u64,
    tag: HealthCheckTag,
) -> String {
    format!(
        "PULL {name} class={kind},key={:016x},part={},wait={wait_ms},miss={source},prio=1,f=collapse,duty={tag} 0\r\n\r\n",
        want.object, want.part
    )
}

/// A probe's answer: its tag, and how the box is, or by which token a newer owner probes it.
pub fn parse_answer(line: &str) -> Option<(HealthCheckTag, Result<HealthState, FencingToken>)> {
    let mut words = line.trim_end().split(' ');
    let (tag, word, fields) = (words.next()?.parse::<HealthCheckTag>().ok()?, words.next()?, words.next()?);
    let field =
        |name: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1);
    let state = match word {
        "READY" => {
            let values = field("stats").unwrap_or_default().split(';').filter_map(|s| s.split_once(':'));
            let load = settings::load_report(values.filter_map(|(name, v)| Some((name, v.parse().ok()?))));
            Ok(HealthState::Healthy(load.cpu_utilization.map(|b| b as f32)))
        }
        "AILING" => Ok(HealthState::Unhealthy),
        // It has answered a later owner.
        "STALE" => Err(field("newest")?.parse::<HealthCheckTag>().ok()?.token),
        _ => return None,
    };
    Some((tag, state))
}
