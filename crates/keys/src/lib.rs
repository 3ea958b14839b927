//! Certificates and keys as state: loaded, checked at the door, swapped as a whole, watched for their end; and what is
//! decided by them: who is spoken to in which way, how many handshakes may be under way, how long a node with a bad
//! certificate is left alone. No sockets here; see `docs/tls.md`.

pub mod generation;
pub mod policy;
pub mod shakes;

pub use generation::{Fault, Files, Generation, Keys, Notice, Taken, Texts};
pub use policy::{Matches, Policy, Rule};
pub use shakes::{Bounds, Shakes};

/// Whole nanoseconds, of Unix time where a moment is meant.
pub type Ns = u64;
