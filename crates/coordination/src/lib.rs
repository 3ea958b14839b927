//! Coordination of a fleet of directors that exchange messages: leases, fencing, membership and shared health checks.
//! The crate does no I/O.
//!
//! Some work is done by one director on behalf of the whole fleet. Such work is a *role*, and a role has at most one
//! holder at a time. A few directors are *voters*: a [`LeaseCandidate`] requests the lease of a role, and each
//! [`LeaseVoter`] grants or rejects it. The candidate becomes the holder when a majority of the voters has granted the
//! lease. The lease carries a term that grows with each new holder. The term and the holder form a [`FencingToken`]
//! that accompanies each effect of the holder, and a [`FencingGuard`] where the effect takes place rejects older
//! tokens. Leases keep holders from competing; safety rests on the guards alone, because a lease can expire between the
//! holder's check of its clock and the effect.
//!
//! | module | content |
//! | --- | --- |
//! | `coordinator` | [`Coordinator`]: the coordination of one process; owns the state machines below |
//! | `voter_node` | [`VoterNode`]: the state that one voter stores for the fleet |
//! | `messages` | messages from members to voters, and the replies |
//! | `lease_candidate`, `lease_voter` | acquiring, renewing and granting a lease |
//! | `fencing` | fencing tokens, and the guard that checks them |
//! | `register_writer`, `register_replica` | one value per role, replicated to the voters, written by the holder only |
//! | `failure_detector`, `rendezvous_shares` | which members are alive, and which member a target belongs to |
//! | `health_check_schedule`, `cache_warmer` | when to check a node, and what to fetch into a cold cache |
//!
//! Callers pass in the time and the received messages, and carry out the returned actions. Times are integer
//! nanoseconds ([`Ns`]) of a monotonic clock that also advances while the machine is suspended. A time is meaningful
//! in one process only, so messages carry durations and ages but never points in time.

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
mod lease_voter;
mod member;
pub mod messages;
mod outstanding_calls;
mod register_replica;
mod register_writer;
mod rendezvous_shares;
mod voter_node;
mod voter_set;

pub use action::Action;
pub use cache_warmer::{CacheWarmer, Fetch, FetchOutcome, HotObject, WarmingLimits};
pub use coordination_config::{CoordinationConfig, ReconfigureError};
pub use coordinator::Coordinator;
pub use failure_detector::FailureDetector;
pub use fencing::{FencingGuard, FencingToken, StaleToken};
pub use lease_candidate::{CandidateAction, LeaseCandidate, LeaseConfig, LeaseEnd};
pub use lease_voter::{LeaseHolder, LeaseReply, LeaseRequest, LeaseVoter};
pub use member::Member;
pub use rendezvous_shares::RendezvousShares;
pub use voter_node::{MemberVersion, VoterNode};

pub use sablecross::Ns;
