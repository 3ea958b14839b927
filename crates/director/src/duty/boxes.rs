//! What is spoken with boxes that are probed: `METER`, with a tag that shows the token, and what comes back under it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use sablecross_duty::word::State;
use sablecross_duty::{Member, Token, Want};
use sablecross_inhand::settings;

use super::peers::Line;

/// The tag of a probe: its token and a number, in hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tag {
    pub token: Token,
    pub number: u64,
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Token { term, owner } = self.token;
        write!(f, "{term:x}-{:x}-{:x}-{:x}", owner.number, owner.life, self.number)
    }
}

impl FromStr for Tag {
    type Err = ();

    fn from_str(text: &str) -> Result<Tag, ()> {
        let mut parts = text.split('-').map(|p| u64::from_str_radix(p, 16).map_err(drop));
        let mut next = || parts.next().ok_or(())?;
        let (term, number, life, count) = (next()?, next()?, next()?, next()?);
        let owner = Member { number: u32::try_from(number).map_err(drop)?, life };
        Ok(Tag { token: Token { term, owner }, number: count })
    }
}

pub struct Probed {
    pub name: String,
    pub node: sablecross::Ns,
    pub line: Line,
    /// Probes out, by number.
    pub out: BTreeMap<u64, Token>,
    /// Bytes of a body that are still to come, and to be passed over.
    pub skip: usize,
}

impl Probed {
    /// Its connection has ended: nothing that was out on it comes, nor the rest of a body.
    pub fn lost(&mut self) {
        self.out.clear();
        self.skip = 0;
    }
}

/// A request that has a cache fetch an object, on behalf of the fleet: the token goes along as a field.
pub fn fetch(name: &str, want: &Want, kind: &str, source: &str, wait_ms: u64, tag: Tag) -> String {
    format!(
        "PULL {name} class={kind},key={:016x},part={},wait={wait_ms},miss={source},prio=1,f=collapse,duty={tag} 0\r\n\r\n",
        want.object, want.part
    )
}

/// A probe's answer: its tag, and how the box is, or by which token a newer owner probes it.
pub fn answer(line: &str) -> Option<(Tag, Result<State, Token>)> {
    let mut words = line.trim_end().split(' ');
    let (tag, word, fields) = (words.next()?.parse::<Tag>().ok()?, words.next()?, words.next()?);
    let field =
        |name: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1);
    let state = match word {
        "READY" => {
            let values = field("stats").unwrap_or_default().split(';').filter_map(|s| s.split_once(':'));
            let load = settings::load(values.filter_map(|(name, v)| Some((name, v.parse().ok()?))));
            Ok(State::Well(load.busy.map(|b| b as f32)))
        }
        "AILING" => Ok(State::Ailing),
        // It has answered a later owner.
        "STALE" => Err(field("newest")?.parse::<Tag>().ok()?.token),
        _ => return None,
    };
    Some((tag, state))
}
