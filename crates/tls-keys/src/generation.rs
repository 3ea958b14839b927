//! A generation of certificates and keys, parsed and checked as far as possible before a handshake.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::error::{KeyError, KeyProblem};
use crate::key_files::{KeyMaterial, PemFile};
use crate::{Ns, SECOND};

/// Validity period of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateValidity {
    /// Name of the file that the certificate was read from.
    pub file: String,
    /// Subject of the certificate.
    pub subject: String,
    /// Start of the validity period.
    pub not_before: Ns,
    /// End of the validity period (exclusive).
    pub not_after: Ns,
}

impl CertificateValidity {
    fn includes(&self, now: Ns) -> bool {
        (self.not_before..self.not_after).contains(&now)
    }

    /// Fails if the certificate is not valid at `now`.
    fn check(&self, now: Ns) -> Result<(), KeyError> {
        let subject = self.subject.clone();
        if now < self.not_before {
            return Err(KeyError::new(&self.file, KeyProblem::NotYetValid { subject }));
        }
        if now >= self.not_after {
            return Err(KeyError::new(&self.file, KeyProblem::Expired { subject }));
        }
        Ok(())
    }
}

/// All certificates and keys that handshakes need, read together.
pub struct Generation {
    /// Sequence number of the generation in this process, from 1.
    pub number: u64,
    /// Certificates of the trusted authorities.
    pub trusted_roots: Arc<RootCertStore>,
    /// This process's certificate chain with its private key.
    pub identity: Option<Arc<CertifiedKey>>,
    /// Certificate revocation lists.
    pub revocation_lists: Vec<CertificateRevocationListDer<'static>>,
    /// Validity period of each certificate.
    pub validities: Vec<CertificateValidity>,
    content: GenerationContent,
}

/// Encoded certificates and revocation lists by what they are for, to detect whether a reload changes anything. Private
/// keys are not included: a new key comes with a new certificate.
#[derive(Default, PartialEq, Eq)]
struct GenerationContent {
    trusted_roots: BTreeSet<Vec<u8>>,
    /// In the order of the chain.
    chain: Vec<Vec<u8>>,
    revocation_lists: BTreeSet<Vec<u8>>,
}

impl fmt::Debug for Generation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Generation")
            .field("number", &self.number)
            .field("trusted_roots", &self.trusted_roots.len())
            .field("identity", &self.identity.is_some())
            .field("revocation_lists", &self.revocation_lists.len())
            .field("validities", &self.validities)
            .finish_non_exhaustive()
    }
}

impl Generation {
    /// Parses the files' content and checks all that can be checked before a handshake. `now` is the time of the system
    /// clock.
    pub fn from_material(number: u64, material: &KeyMaterial, now: Ns) -> Result<Generation, KeyError> {
        let mut generation = Generation {
            number,
            trusted_roots: Arc::new(RootCertStore::empty()),
            identity: None,
            revocation_lists: Vec::new(),
            validities: Vec::new(),
            content: GenerationContent::default(),
        };
        generation.add_trusted_roots(&material.trusted_roots, now)?;
        if let Some(identity) = &material.identity {
            generation.add_identity(&identity.chain, &identity.key, now)?;
        }
        for file in &material.revocation_lists {
            generation.add_revocation_lists(file)?;
        }
        Ok(generation)
    }

    /// Returns the validity of the certificate that expires first.
    pub fn earliest_expiry(&self) -> Option<&CertificateValidity> {
        self.validities.iter().min_by_key(|validity| validity.not_after)
    }

    /// Returns whether another generation has the same certificates and revocation lists.
    pub(crate) fn has_same_content(&self, other: &Generation) -> bool {
        self.content == other.content
    }

    /// Adds the trusted authorities and fails if none is valid. An expired authority beside a valid one is accepted, as
    /// happens while authorities are replaced.
    fn add_trusted_roots(&mut self, file: &PemFile, now: Ns) -> Result<(), KeyError> {
        let mut roots = RootCertStore::empty();
        let mut any_valid = false;
        for certificate in read_certificates(file)? {
            let details = CertificateDetails::parse(&file.file, &certificate)?;
            any_valid |= details.validity.includes(now);
            self.content.trusted_roots.insert(certificate.to_vec());
            roots.add(certificate).map_err(|error| {
                KeyError::new(&file.file, KeyProblem::NotAnAuthority { cause: error.to_string() })
            })?;
            self.validities.push(details.validity);
        }
        if !any_valid {
            return Err(KeyError::new(&file.file, KeyProblem::NoValidAuthority));
        }
        self.trusted_roots = Arc::new(roots);
        Ok(())
    }

    fn add_identity(&mut self, chain: &PemFile, key: &PemFile, now: Ns) -> Result<(), KeyError> {
        let certificates = read_certificates(chain)?;
        self.check_chain(chain, &certificates, now)?;
        let identity = build_certified_key(chain, key, certificates)?;
        self.content.chain.extend(identity.cert.iter().map(|certificate| certificate.to_vec()));
        self.identity = Some(Arc::new(identity));
        Ok(())
    }

    /// Checks that each certificate is valid and that its subject is the issuer of the one before it, and adds their
    /// validity periods.
    fn check_chain(
        &mut self,
        chain: &PemFile,
        certificates: &[CertificateDer],
        now: Ns,
    ) -> Result<(), KeyError> {
        let mut issuer: Option<Vec<u8>> = None;
        for certificate in certificates {
            let details = CertificateDetails::parse(&chain.file, certificate)?;
            if issuer.is_some_and(|issuer| issuer != details.subject) {
                let subject = details.validity.subject;
                return Err(KeyError::new(&chain.file, KeyProblem::BrokenChain { subject }));
            }
            details.validity.check(now)?;
            issuer = Some(details.issuer);
            self.validities.push(details.validity);
        }
        Ok(())
    }

    fn add_revocation_lists(&mut self, file: &PemFile) -> Result<(), KeyError> {
        let lists: Result<Vec<_>, _> = CertificateRevocationListDer::pem_slice_iter(&file.bytes).collect();
        let lists = lists.map_err(|error| {
            KeyError::new(&file.file, KeyProblem::MalformedRevocationList { cause: error.to_string() })
        })?;
        if lists.is_empty() {
            return Err(KeyError::new(&file.file, KeyProblem::NoRevocationList));
        }
        self.content.revocation_lists.extend(lists.iter().map(|list| list.as_ref().to_vec()));
        self.revocation_lists.extend(lists);
        Ok(())
    }
}

fn read_certificates(file: &PemFile) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&file.bytes).collect();
    let certificates = certificates
        .map_err(|error| KeyError::new(&file.file, KeyProblem::MalformedPem { cause: error.to_string() }))?;
    if certificates.is_empty() {
        return Err(KeyError::new(&file.file, KeyProblem::NoCertificate));
    }
    Ok(certificates)
}

/// Fields of a certificate. Subject and issuer are kept encoded, for comparison.
struct CertificateDetails {
    validity: CertificateValidity,
    subject: Vec<u8>,
    issuer: Vec<u8>,
}

impl CertificateDetails {
    fn parse(file: &str, certificate: &CertificateDer) -> Result<Self, KeyError> {
        let (_, certificate) = X509Certificate::from_der(certificate).map_err(|error| {
            KeyError::new(file, KeyProblem::MalformedCertificate { cause: error.to_string() })
        })?;
        let nanoseconds = |seconds: i64| u64::try_from(seconds).unwrap_or(0).saturating_mul(SECOND);
        let validity = CertificateValidity {
            file: file.to_owned(),
            subject: certificate.subject().to_string(),
            not_before: nanoseconds(certificate.validity().not_before.timestamp()),
            not_after: nanoseconds(certificate.validity().not_after.timestamp()),
        };
        Ok(CertificateDetails {
            validity,
            subject: certificate.subject().as_raw().to_vec(),
            issuer: certificate.issuer().as_raw().to_vec(),
        })
    }
}

/// Combines a chain with its private key, and fails if they do not match. Errors leave out the parser's message, which
/// may quote the key.
fn build_certified_key(
    chain: &PemFile,
    key: &PemFile,
    certificates: Vec<CertificateDer<'static>>,
) -> Result<CertifiedKey, KeyError> {
    let private = PrivateKeyDer::from_pem_slice(&key.bytes)
        .map_err(|_| KeyError::new(&key.file, KeyProblem::NoPrivateKey))?;
    let provider = rustls::crypto::ring::default_provider();
    let signing = provider
        .key_provider
        .load_private_key(private)
        .map_err(|_| KeyError::new(&key.file, KeyProblem::UnsupportedKey))?;
    let certified = CertifiedKey::new(certificates, signing);
    certified
        .keys_match()
        .map_err(|_| KeyError::new(&key.file, KeyProblem::KeyMismatch { chain: chain.file.clone() }))?;
    Ok(certified)
}
