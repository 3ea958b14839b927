//! Coordination of a fleet of directors that may talk to one another: leases, fencing, membership, shared health
//! checks. No I/O.
//!
//! Some work is done by one director on behalf of all: it is a *role*, and a role has at most one holder at a time.
//! A few directors are *voters*. A majority of them grants the lease of a role ([`LeaseCandidate`] asks, [`Voter`]
//! grants); the grant carries a term that grows with each new holder. The term and the holder form a
//! [`FencingToken`] that accompanies each effect, and a [`FencingGuard`] at the effect rejects older ones. The lease
//! keeps holders out of each other's way; safety rests on the guard alone, as a lease can end between the check of
//! the clock and the effect.
//!
//! | module | content |
//! | --- | --- |
//! | `coordinator` | [`Coordinator`]: everything that one process does; owns the state machines below |
//! | `voter_node` | [`VoterNode`]: everything that a voter keeps for the fleet |
//! | `messages` | what members send to voters, and the replies |
//! | `lease_candidate`, `voter` | acquiring, renewing and granting a lease |
//! | `fencing` | tokens, and the check at the effect |
//! | `register_writer`, `register_replica` | one value a role, replicated to the voters, written by the holder only |
//! | `failure_detector`, `rendezvous_shares` | who is alive, and which member a target belongs to |
//! | `health_check_schedule`, `cache_warmer` | when to check a node, what to fetch into a cold cache |
//!
//! Callers pass the time and received messages in, and carry out the actions that come back. Times are whole
//! nanoseconds ([`Ns`]) of a monotonic clock that also counts while the machine is suspended. They are meaningful in
//! one process only: messages carry durations and ages, never points in time.

mod action;
mod assignment_replica;
mod cache_warmer;
mod coordination_config;
mod coordinator;
mod failure_detector;
mod fencing;
mod health_check_schedule;
mod health_log;
mod hot_object_counts;
mod lease_candidate;
mod member;
pub mod messages;
mod outstanding_calls;
mod register_replica;
mod register_writer;
mod rendezvous_shares;
mod voter;
mod voter_node;
mod voter_set;

pub use action::Action;
pub use cache_warmer::{CacheWarmer, Fetch, FetchOutcome, HotObject, WarmingLimits};
pub use coordination_config::{CoordinationConfig, ReconfigureError};
pub use coordinator::Coordinator;
pub use failure_detector::FailureDetector;
pub use fencing::{FencingGuard, FencingToken, StaleToken};
pub use lease_candidate::{CandidateAction, LeaseCandidate, LeaseConfig, LeaseEnd};
pub use member::Member;
pub use rendezvous_shares::RendezvousShares;
pub use voter::{LeaseHolder, LeaseReply, LeaseRequest, Voter};
pub use voter_node::{MemberVersion, VoterNode};

pub use sablecross::Ns;
