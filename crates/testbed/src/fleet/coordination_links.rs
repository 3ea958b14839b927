//! Coordination in a trial: the links between members and voters, and the faults injected into role holders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use super::coordination_watch::HolderFault;
use super::link_proxy::LinkProxies;
use super::settings::CoordinationTrial;
use crate::process::{TrialError, io_error};

/// The voters of a trial and the links of all members to them.
pub(super) struct CoordinationLinks {
    pub(super) settings: CoordinationTrial,
    pub(super) voters: Vec<SocketAddr>,
    pub(super) proxies: LinkProxies,
    /// The faults injected into role holders so far.
    pub(super) holder_faults: Vec<HolderFault>,
    /// The capacity of a cache of mean speed, in requests per second.
    cache_capacity: f64,
}

impl CoordinationLinks {
    /// Creates a link from each member to each voter. The first members are the voters.
    pub(super) fn start(
        settings: &CoordinationTrial,
        cache_capacity: f64,
        members: &[SocketAddr],
        over: &Arc<AtomicBool>,
    ) -> Result<CoordinationLinks, TrialError> {
        let voters = members[..settings.voters].to_vec();
        let proxies =
            LinkProxies::start(members.len(), &voters, over).map_err(io_error("the links to voters"))?;
        let settings = settings.clone();
        Ok(CoordinationLinks { settings, voters, proxies, holder_faults: Vec::new(), cache_capacity })
    }

    /// The coordination settings file of one member, with the addresses of its own links to the voters.
    pub(super) fn member_settings(&self, member: usize) -> String {
        let settings = &self.settings;
        let warming = match settings.warming {
            true => format!(" (warming . #t) (warm-bears . {:.1})", self.cache_capacity),
            false => String::new(),
        };
        let mut text = format!(
            "(duty (lease-ms . {}) (round-ms . {}) (apart-ms . {}) (beat-ms . {}) (probe-ms . {}){warming})\n",
            settings.lease_ms,
            settings.lease_ms / 5,
            (settings.lease_ms / 20).max(1),
            settings.beat_ms,
            settings.probe_ms,
        );
        for (number, own_address) in self.voters.iter().enumerate() {
            // A member without a link to the voter gets the voter's own address.
            let address = self.proxies.address(member, number).unwrap_or(*own_address);
            text += &format!("(voter (number . {number}) (address . \"{address}\"))\n");
        }
        text
    }
}
