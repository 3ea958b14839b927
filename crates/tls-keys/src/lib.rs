//! Certificates and keys as state: loaded, checked at the door, swapped as a whole, watched for their end; and what is
//! decided by them: who is spoken to in which way, how many handshakes may be under way, how long a node with a bad
//! certificate is left alone. No sockets here; see `docs/tls.md`.

pub mod generation;
pub mod handshake_limiter;
pub mod policy;

pub use generation::{ExpiryNotice, Generation, KeyError, KeyFiles, KeyMaterial, KeyStore, ReloadOutcome};
pub use handshake_limiter::{HandshakeLimiter, HandshakeLimits};
pub use policy::{NodeMatcher, TransportPolicy, TransportSecurity};

/// Whole nanoseconds, of Unix time where a moment is meant.
pub type Ns = u64;
