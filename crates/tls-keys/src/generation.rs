//! One generation of certificates and keys. It comes into force as a whole or not at all; what began with an older
//! one keeps that as long as it lasts.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use arc_swap::ArcSwap;
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use thiserror::Error;
use x509_parser::prelude::{FromDer, X509Certificate};
use zeroize::Zeroizing;

use crate::Ns;

const SEC: Ns = 1_000_000_000;
const DAY: Ns = 86_400 * SEC;
/// A line is written so many days ahead of an end.
const AHEAD: [u64; 3] = [30, 7, 1];
/// Bytes of one file.
const LARGEST: u64 = 4 << 20;

/// What is wrong with certificates or keys, in which file, and what to do. Never holds what a key file says.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{file}: {what} ({todo})")]
pub struct KeyError {
    pub file: String,
    pub what: String,
    pub todo: &'static str,
}

fn fault(file: &str, what: impl fmt::Display, todo: &'static str) -> KeyError {
    KeyError { file: file.into(), what: what.to_string(), todo }
}

/// The files of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificates of authorities that are trusted.
    pub trusted_roots: PathBuf,
    /// The own chain, the own certificate first, and its key.
    pub identity: Option<(PathBuf, PathBuf)>,
    pub revocation_lists: Vec<PathBuf>,
    /// Whether a key that others may read is taken all the same.
    pub allow_world_readable_key: bool,
}

/// A text with the name of its file.
pub struct PemFile {
    pub file: String,
    pub bytes: Zeroizing<Vec<u8>>,
}

/// What the files say; wiped when it is dropped.
pub struct KeyMaterial {
    pub trusted_roots: PemFile,
    pub identity: Option<(PemFile, PemFile)>,
    pub revocation_lists: Vec<PemFile>,
}

impl fmt::Debug for KeyMaterial {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Texts({}, {} revoked lists)", self.trusted_roots.file, self.revocation_lists.len())
    }
}

impl KeyFiles {
    pub fn read(&self) -> Result<KeyMaterial, KeyError> {
        let own = match &self.identity {
            None => None,
            Some((chain, key)) => {
                self.private(key)?;
                Some((read(chain)?, read(key)?))
            }
        };
        let revoked = self.revocation_lists.iter().map(|f| read(f)).collect::<Result<_, _>>()?;
        Ok(KeyMaterial {
            trusted_roots: read(&self.trusted_roots)?,
            identity: own,
            revocation_lists: revoked,
        })
    }

    /// A key that others may read is no secret.
    #[cfg(unix)]
    fn private(&self, key: &Path) -> Result<(), KeyError> {
        use std::os::unix::fs::PermissionsExt;
        let name = key.display().to_string();
        let meta = std::fs::metadata(key).map_err(|e| fault(&name, e, "name a file that can be read"))?;
        let mode = meta.permissions().mode() & 0o077;
        if mode != 0 && !self.allow_world_readable_key {
            return Err(fault(
                &name,
                format_args!("others may read this key (mode {mode:03o})"),
                "chmod 600 it",
            ));
        }
        Ok(())
    }

    #[cfg(not(unix))]
    fn private(&self, _key: &Path) -> Result<(), KeyError> {
        Ok(())
    }
}

fn read(file: &Path) -> Result<PemFile, KeyError> {
    let name = file.display().to_string();
    let unread = |e: std::io::Error| fault(&name, e, "name a file that can be read");
    let length = std::fs::metadata(file).map_err(unread)?.len();
    if length > LARGEST {
        return Err(fault(&name, format_args!("{length} bytes"), "4 MiB are the most"));
    }
    let bytes = Zeroizing::new(std::fs::read(file).map_err(unread)?);
    Ok(PemFile { file: name, bytes })
}

/// A certificate's name and the span in which it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateValidity {
    pub file: String,
    pub subject: String,
    pub not_before: Ns,
    pub not_after: Ns,
}

/// All that handshakes need, as it was taken at one moment.
pub struct Generation {
    pub number: u64,
    pub trusted_roots: Arc<RootCertStore>,
    pub identity: Option<Arc<CertifiedKey>>,
    pub revocation_lists: Vec<CertificateRevocationListDer<'static>>,
    pub validities: Vec<CertificateValidity>,
    /// Of all certificates and lists, to tell whether anything is new; keys follow their certificates.
    marks: BTreeSet<Vec<u8>>,
}

impl fmt::Debug for Generation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Generation")
            .field("number", &self.number)
            .field("trusted", &self.trusted_roots.len())
            .field("own", &self.identity.is_some())
            .field("revoked", &self.revocation_lists.len())
            .field("spans", &self.validities)
            .finish_non_exhaustive()
    }
}

fn certificates(text: &PemFile) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text.bytes).collect();
    let all = all.map_err(|e| fault(&text.file, e, "write PEM certificates whole"))?;
    if all.is_empty() {
        return Err(fault(&text.file, "holds no certificate", "write PEM certificates"));
    }
    Ok(all)
}

/// The span of a certificate, its subject and its issuer.
fn looked(file: &str, der: &CertificateDer) -> Result<(CertificateValidity, Vec<u8>, Vec<u8>), KeyError> {
    let (_, c) = X509Certificate::from_der(der).map_err(|e| fault(file, e, "write an X.509 certificate"))?;
    let ns = |seconds: i64| u64::try_from(seconds).unwrap_or(0).saturating_mul(SEC);
    let span = CertificateValidity {
        file: file.into(),
        subject: c.subject().to_string(),
        not_before: ns(c.validity().not_before.timestamp()),
        not_after: ns(c.validity().not_after.timestamp()),
    };
    Ok((span, c.subject().as_raw().to_vec(), c.issuer().as_raw().to_vec()))
}

impl Generation {
    /// Checks all that can be checked before a handshake. Times are those of the system's clock.
    pub fn from_material(number: u64, texts: &KeyMaterial, now: Ns) -> Result<Generation, KeyError> {
        let mut trusted = RootCertStore::empty();
        let (mut spans, mut marks) = (Vec::new(), BTreeSet::new());
        let mut live = 0;
        for der in certificates(&texts.trusted_roots)? {
            let (span, ..) = looked(&texts.trusted_roots.file, &der)?;
            // One authority that has ended beside others that have not is a roll-over, not a fault.
            live += usize::from((span.not_before..span.not_after).contains(&now));
            marks.insert(der.to_vec());
            trusted
                .add(der)
                .map_err(|e| fault(&texts.trusted_roots.file, e, "write certificates of authorities"))?;
            spans.push(span);
        }
        if live == 0 {
            return Err(fault(
                &texts.trusted_roots.file,
                "no authority is valid now",
                "add one; check the clock",
            ));
        }
        let own = match &texts.identity {
            None => None,
            Some((chain, key)) => {
                let own = Self::identity(chain, key, now, &mut spans)?;
                marks.extend(own.cert.iter().map(|c| c.to_vec()));
                Some(Arc::new(own))
            }
        };
        let mut revoked = Vec::new();
        for text in &texts.revocation_lists {
            let lists: Result<Vec<_>, _> =
                CertificateRevocationListDer::pem_slice_iter(&text.bytes).collect();
            let lists = lists.map_err(|e| fault(&text.file, e, "write PEM revocation lists whole"))?;
            if lists.is_empty() {
                return Err(fault(&text.file, "holds no revocation list", "write PEM lists (X509 CRL)"));
            }
            marks.extend(lists.iter().map(|l| l.as_ref().to_vec()));
            revoked.extend(lists);
        }
        Ok(Generation {
            number,
            trusted_roots: Arc::new(trusted),
            identity: own,
            revocation_lists: revoked,
            validities: spans,
            marks,
        })
    }

    fn identity(
        chain: &PemFile,
        key: &PemFile,
        now: Ns,
        spans: &mut Vec<CertificateValidity>,
    ) -> Result<CertifiedKey, KeyError> {
        let certificates = certificates(chain)?;
        let mut issuer: Option<Vec<u8>> = None;
        for der in &certificates {
            let (span, subject, by) = looked(&chain.file, der)?;
            if issuer.is_some_and(|issuer| issuer != subject) {
                let what = format!("{} does not follow the one that it issued", span.subject);
                return Err(fault(&chain.file, what, "put the own certificate first, each issuer after it"));
            }
            if now < span.not_before {
                return Err(fault(
                    &chain.file,
                    format_args!("{}: not yet valid", span.subject),
                    "check the clock",
                ));
            }
            if now >= span.not_after {
                return Err(fault(&chain.file, format_args!("{}: expired", span.subject), "renew it"));
            }
            issuer = Some(by);
            spans.push(span);
        }
        // What a parser says of a key may quote it: only that it failed is told.
        let private = PrivateKeyDer::from_pem_slice(&key.bytes).map_err(|_| {
            fault(&key.file, "holds no private key", "write one in PEM: PKCS#8, SEC1 or PKCS#1")
        })?;
        let provider = rustls::crypto::ring::default_provider();
        let signing = provider.key_provider.load_private_key(private);
        let signing = signing.map_err(|_| {
            fault(&key.file, "the key can't be used", "use ECDSA P-256 or P-384, Ed25519, RSA of 2048")
        })?;
        let own = CertifiedKey::new(certificates, signing);
        own.keys_match()
            .map_err(|_| fault(&key.file, format_args!("does not fit {}", chain.file), "write both anew"))?;
        Ok(own)
    }

    pub fn earliest_expiry(&self) -> Option<&CertificateValidity> {
        self.validities.iter().min_by_key(|s| s.not_after)
    }
}

/// What became of files that were read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// In force from now on, under this number.
    Installed(u64),
    /// Nothing in them is new.
    Unchanged,
}

/// An end that comes near.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiryNotice {
    pub validity: CertificateValidity,
    /// Whole days that are left; 0: it has ended or ends today.
    pub days_left: u64,
}

/// The generation in force; those who read it never wait for who changes it.
#[derive(Debug)]
pub struct KeyStore {
    current: ArcSwap<Generation>,
}

impl KeyStore {
    pub fn new(texts: &KeyMaterial, now: Ns) -> Result<KeyStore, KeyError> {
        Ok(KeyStore { current: ArcSwap::from_pointee(Generation::from_material(1, texts, now)?) })
    }

    /// Kept by whatever begins now, as long as that lasts.
    pub fn current(&self) -> Arc<Generation> {
        self.current.load_full()
    }

    /// Takes what the files say now, whole; a fault leaves the old generation in force. To be called by one thread.
    pub fn reload(&self, texts: &KeyMaterial, now: Ns) -> Result<ReloadOutcome, KeyError> {
        let before = self.current();
        let next = Generation::from_material(before.number + 1, texts, now)?;
        if next.marks == before.marks {
            return Ok(ReloadOutcome::Unchanged);
        }
        let number = next.number;
        self.current.store(Arc::new(next));
        Ok(ReloadOutcome::Installed(number))
    }
}

/// Tells of ends that come near, each once at 30, 7 and 1 days ahead and once when it has come.
#[derive(Debug, Default)]
pub struct ExpiryWatch {
    said: BTreeSet<(String, Ns, u64)>,
}

impl ExpiryWatch {
    pub fn check(&mut self, generation: &Generation, now: Ns) -> Vec<ExpiryNotice> {
        let live = |s: &(String, Ns, u64)| {
            generation.validities.iter().any(|g| (&g.subject, g.not_after) == (&s.0, s.1))
        };
        self.said.retain(live);
        let mut notices = Vec::new();
        for span in &generation.validities {
            let left = span.not_after.saturating_sub(now);
            // The nearest mark that has been passed; those before it need no word any more.
            let passed = AHEAD.iter().copied().filter(|d| left <= d * DAY).min();
            let mark = if left == 0 { Some(0) } else { passed };
            if let Some(mark) = mark
                && self.said.insert((span.subject.clone(), span.not_after, mark))
            {
                notices.push(ExpiryNotice { validity: span.clone(), days_left: left / DAY });
            }
        }
        notices
    }
}
