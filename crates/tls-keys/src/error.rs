//! Errors in files of certificates and keys.

use thiserror::Error;

/// A problem with a file, and how to fix it. It never contains any content of a private key's file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{file}: {problem} ({remedy})", remedy = .problem.remedy())]
pub struct KeyError {
    /// Name of the file.
    pub file: String,
    /// What is wrong with the file.
    pub problem: KeyProblem,
}

impl KeyError {
    pub(crate) fn new(file: &str, problem: KeyProblem) -> Self {
        KeyError { file: file.to_owned(), problem }
    }
}

/// What is wrong with a file of certificates or keys.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum KeyProblem {
    /// The file cannot be read.
    #[error("{cause}")]
    Unreadable {
        /// Error of the operating system.
        cause: String,
    },
    /// The file is larger than the limit.
    #[error("the file has {bytes} bytes")]
    TooLarge {
        /// Size of the file in bytes.
        bytes: u64,
    },
    /// Group or others have permissions on the file of a private key.
    #[error("others may read this key (mode {mode:03o})")]
    ReadableByOthers {
        /// Permission bits of group and others.
        mode: u32,
    },
    /// The file is not valid PEM.
    #[error("{cause}")]
    MalformedPem {
        /// The parser's error.
        cause: String,
    },
    /// The file holds no certificate.
    #[error("holds no certificate")]
    NoCertificate,
    /// A certificate cannot be parsed.
    #[error("{cause}")]
    MalformedCertificate {
        /// The parser's error.
        cause: String,
    },
    /// A certificate cannot be used as a trusted authority.
    #[error("{cause}")]
    NotAnAuthority {
        /// Error of the TLS library.
        cause: String,
    },
    /// No trusted authority is valid at the current time.
    #[error("no authority is valid now")]
    NoValidAuthority,
    /// The file of a revocation list is not valid PEM.
    #[error("{cause}")]
    MalformedRevocationList {
        /// The parser's error.
        cause: String,
    },
    /// The file holds no revocation list.
    #[error("holds no revocation list")]
    NoRevocationList,
    /// The subject of a certificate in a chain is not the issuer of the one before it.
    #[error("{subject} does not follow the one that it issued")]
    BrokenChain {
        /// Subject of the certificate.
        subject: String,
    },
    /// A certificate is not yet valid at the current time.
    #[error("{subject}: not yet valid")]
    NotYetValid {
        /// Subject of the certificate.
        subject: String,
    },
    /// A certificate has expired at the current time.
    #[error("{subject}: expired")]
    Expired {
        /// Subject of the certificate.
        subject: String,
    },
    /// The file holds no private key. The parser's message is left out, as it may quote the key.
    #[error("holds no private key")]
    NoPrivateKey,
    /// The type of the private key is not supported.
    #[error("the type of the private key is not supported")]
    UnsupportedKey,
    /// The private key does not belong to the certificate.
    #[error("does not fit {chain}")]
    KeyMismatch {
        /// Name of the certificate's file.
        chain: String,
    },
}

impl KeyProblem {
    /// Returns how to fix the problem.
    pub fn remedy(&self) -> &'static str {
        match self {
            KeyProblem::Unreadable { .. } => "name a file that can be read",
            KeyProblem::TooLarge { .. } => "at most 4 MiB are allowed",
            KeyProblem::ReadableByOthers { .. } => "set its mode to 600 (chmod 600)",
            KeyProblem::MalformedPem { .. } => "provide complete PEM certificates",
            KeyProblem::NoCertificate => "provide PEM certificates",
            KeyProblem::MalformedCertificate { .. } => "provide an X.509 certificate",
            KeyProblem::NotAnAuthority { .. } => "provide certificates of authorities",
            KeyProblem::NoValidAuthority => "add a valid one, or check the system clock",
            KeyProblem::MalformedRevocationList { .. } => "provide complete PEM revocation lists",
            KeyProblem::NoRevocationList => "provide PEM revocation lists (X509 CRL)",
            KeyProblem::BrokenChain { .. } => "put the own certificate first, then each issuer",
            KeyProblem::NotYetValid { .. } => "check the system clock",
            KeyProblem::Expired { .. } => "renew the certificate",
            KeyProblem::NoPrivateKey => "provide one in PEM: PKCS#8, SEC1 or PKCS#1",
            KeyProblem::UnsupportedKey => "use ECDSA P-256 or P-384, Ed25519, or RSA with 2048 bits",
            KeyProblem::KeyMismatch { .. } => "provide a certificate and its own key",
        }
    }
}
