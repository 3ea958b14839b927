//! What can be wrong with certificates and keys.

use thiserror::Error;

/// What is wrong, in which file, and what to do about it. It never holds anything that a key file says.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{file}: {problem} ({remedy})", remedy = .problem.remedy())]
pub struct KeyError {
    /// The name of the file.
    pub file: String,
    /// What is wrong with it.
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
    /// The operating system does not let the file be read.
    #[error("{cause}")]
    Unreadable {
        /// The system's error.
        cause: String,
    },
    /// The file is larger than any of its kind should be.
    #[error("{bytes} bytes")]
    TooLarge {
        /// Its size.
        bytes: u64,
    },
    /// Others than the owner may read a private key.
    #[error("others may read this key (mode {mode:03o})")]
    ReadableByOthers {
        /// The permissions of group and others.
        mode: u32,
    },
    /// The text is not PEM.
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
    /// A certificate cannot be trusted as that of an authority.
    #[error("{cause}")]
    NotAnAuthority {
        /// The library's error.
        cause: String,
    },
    /// No trusted authority is valid by the clock.
    #[error("no authority is valid now")]
    NoValidAuthority,
    /// A revocation list is not PEM.
    #[error("{cause}")]
    MalformedRevocationList {
        /// The parser's error.
        cause: String,
    },
    /// The file holds no revocation list.
    #[error("holds no revocation list")]
    NoRevocationList,
    /// A certificate of a chain did not issue the one before it.
    #[error("{subject} does not follow the one that it issued")]
    BrokenChain {
        /// Its subject.
        subject: String,
    },
    /// A certificate is not yet valid by the clock.
    #[error("{subject}: not yet valid")]
    NotYetValid {
        /// Its subject.
        subject: String,
    },
    /// A certificate is no longer valid by the clock.
    #[error("{subject}: expired")]
    Expired {
        /// Its subject.
        subject: String,
    },
    /// The file holds no private key. What a parser says of it is left out, as it may quote the key.
    #[error("holds no private key")]
    NoPrivateKey,
    /// The kind of the private key is not supported.
    #[error("the key can't be used")]
    UnsupportedKey,
    /// The private key is not that of the certificate.
    #[error("does not fit {chain}")]
    KeyMismatch {
        /// The file of the certificate.
        chain: String,
    },
}

impl KeyProblem {
    /// What to do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            KeyProblem::Unreadable { .. } => "name a file that can be read",
            KeyProblem::TooLarge { .. } => "4 MiB are the most",
            KeyProblem::ReadableByOthers { .. } => "chmod 600 it",
            KeyProblem::MalformedPem { .. } => "write complete PEM certificates",
            KeyProblem::NoCertificate => "write PEM certificates",
            KeyProblem::MalformedCertificate { .. } => "write an X.509 certificate",
            KeyProblem::NotAnAuthority { .. } => "write certificates of authorities",
            KeyProblem::NoValidAuthority => "add one; check the clock",
            KeyProblem::MalformedRevocationList { .. } => "write complete PEM revocation lists",
            KeyProblem::NoRevocationList => "write PEM lists (X509 CRL)",
            KeyProblem::BrokenChain { .. } => "put the own certificate first, each issuer after it",
            KeyProblem::NotYetValid { .. } => "check the clock",
            KeyProblem::Expired { .. } => "renew it",
            KeyProblem::NoPrivateKey => "write one in PEM: PKCS#8, SEC1 or PKCS#1",
            KeyProblem::UnsupportedKey => "use ECDSA P-256 or P-384, Ed25519, RSA of 2048",
            KeyProblem::KeyMismatch { .. } => "write both anew",
        }
    }
}
