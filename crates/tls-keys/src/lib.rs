//! Certificates and keys for TLS connections to servers. The crate opens no sockets.
//!
//! Certificates and keys are checked before use, replaced atomically, and watched for expiry. A policy decides which
//! nodes require TLS, and a limiter decides when handshakes may begin. See `docs/tls.md`.

mod error;
mod expiry;
mod generation;
mod handshake_limiter;
mod key_files;
mod key_store;
mod transport_policy;

pub use error::{KeyError, KeyProblem};
pub use expiry::{ExpiryNotice, ExpiryWatch};
pub use generation::{CertificateValidity, Generation};
pub use handshake_limiter::{HandshakeDenied, HandshakeLimiter, HandshakeLimits};
pub use key_files::{IdentityFiles, IdentityMaterial, KeyFiles, KeyMaterial, PemFile};
pub use key_store::{KeyStore, ReloadOutcome};
pub use transport_policy::{
    NodeMatcher, RequiredSecurity, TransportPolicy, TransportRule, TransportSecurity,
};

/// A time or a duration in whole nanoseconds; a point in time counts from the Unix epoch.
pub type Ns = u64;

pub(crate) const SECOND: Ns = 1_000_000_000;
pub(crate) const DAY: Ns = 86_400 * SECOND;
