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
pub struct Fault {
    pub file: String,
    pub what: String,
    pub todo: &'static str,
}

fn fault(file: &str, what: impl fmt::Display, todo: &'static str) -> Fault {
    Fault { file: file.into(), what: what.to_string(), todo }
}

/// The files of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Certificates of authorities that are trusted.
    pub trusted: PathBuf,
    /// The own chain, the own certificate first, and its key.
    pub own: Option<(PathBuf, PathBuf)>,
    pub revoked: Vec<PathBuf>,
    /// Whether a key that others may read is taken all the same.
    pub readable: bool,
}

/// A text with the name of its file.
pub struct Named {
    pub file: String,
    pub bytes: Zeroizing<Vec<u8>>,
}

/// What the files say; wiped when it is dropped.
pub struct Texts {
    pub trusted: Named,
    pub own: Option<(Named, Named)>,
    pub revoked: Vec<Named>,
}

impl fmt::Debug for Texts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Texts({}, {} revoked lists)", self.trusted.file, self.revoked.len())
    }
}

impl Files {
    pub fn read(&self) -> Result<Texts, Fault> {
        let own = match &self.own {
            None => None,
            Some((chain, key)) => {
                self.private(key)?;
                Some((read(chain)?, read(key)?))
            }
        };
        let revoked = self.revoked.iter().map(|f| read(f)).collect::<Result<_, _>>()?;
        Ok(Texts { trusted: read(&self.trusted)?, own, revoked })
    }

    /// A key that others may read is no secret.
    #[cfg(unix)]
    fn private(&self, key: &Path) -> Result<(), Fault> {
        use std::os::unix::fs::PermissionsExt;
        let name = key.display().to_string();
        let meta = std::fs::metadata(key).map_err(|e| fault(&name, e, "name a file that can be read"))?;
        let mode = meta.permissions().mode() & 0o077;
        if mode != 0 && !self.readable {
            return Err(fault(
                &name,
                format_args!("others may read this key (mode {mode:03o})"),
                "chmod 600 it",
            ));
        }
        Ok(())
    }

    #[cfg(not(unix))]
    fn private(&self, _key: &Path) -> Result<(), Fault> {
        Ok(())
    }
}

fn read(file: &Path) -> Result<Named, Fault> {
    let name = file.display().to_string();
    let unread = |e: std::io::Error| fault(&name, e, "name a file that can be read");
    let length = std::fs::metadata(file).map_err(unread)?.len();
    if length > LARGEST {
        return Err(fault(&name, format_args!("{length} bytes"), "4 MiB are the most"));
    }
    let bytes = Zeroizing::new(std::fs::read(file).map_err(unread)?);
    Ok(Named { file: name, bytes })
}

/// A certificate's name and the span in which it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    pub file: String,
    pub subject: String,
    pub from: Ns,
    pub until: Ns,
}

/// All that handshakes need, as it was taken at one moment.
pub struct Generation {
    pub number: u64,
    pub trusted: Arc<RootCertStore>,
    pub own: Option<Arc<CertifiedKey>>,
    pub revoked: Vec<CertificateRevocationListDer<'static>>,
    pub spans: Vec<Span>,
    /// Of all certificates and lists, to tell whether anything is new; keys follow their certificates.
    marks: BTreeSet<Vec<u8>>,
}

impl fmt::Debug for Generation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Generation")
            .field("number", &self.number)
            .field("trusted", &self.trusted.len())
            .field("own", &self.own.is_some())
            .field("revoked", &self.revoked.len())
            .field("spans", &self.spans)
            .finish_non_exhaustive()
    }
}

fn certificates(text: &Named) -> Result<Vec<CertificateDer<'static>>, Fault> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text.bytes).collect();
    let all = all.map_err(|e| fault(&text.file, e, "write PEM certificates whole"))?;
    if all.is_empty() {
        return Err(fault(&text.file, "holds no certificate", "write PEM certificates"));
    }
    Ok(all)
}

/// The span of a certificate, its subject and its issuer.
fn looked(file: &str, der: &CertificateDer) -> Result<(Span, Vec<u8>, Vec<u8>), Fault> {
    let (_, c) = X509Certificate::from_der(der).map_err(|e| fault(file, e, "write an X.509 certificate"))?;
    let ns = |seconds: i64| u64::try_from(seconds).unwrap_or(0).saturating_mul(SEC);
    let span = Span {
        file: file.into(),
        subject: c.subject().to_string(),
        from: ns(c.validity().not_before.timestamp()),
        until: ns(c.validity().not_after.timestamp()),
    };
    Ok((span, c.subject().as_raw().to_vec(), c.issuer().as_raw().to_vec()))
}

impl Generation {
    /// Checks all that can be checked before a handshake. Times are those of the system's clock.
    pub fn of(number: u64, texts: &Texts, now: Ns) -> Result<Generation, Fault> {
        let mut trusted = RootCertStore::empty();
        let (mut spans, mut marks) = (Vec::new(), BTreeSet::new());
        let mut live = 0;
        for der in certificates(&texts.trusted)? {
            let (span, ..) = looked(&texts.trusted.file, &der)?;
            // One authority that has ended beside others that have not is a roll-over, not a fault.
            live += usize::from((span.from..span.until).contains(&now));
            marks.insert(der.to_vec());
            trusted
                .add(der)
                .map_err(|e| fault(&texts.trusted.file, e, "write certificates of authorities"))?;
            spans.push(span);
        }
        if live == 0 {
            return Err(fault(&texts.trusted.file, "no authority is valid now", "add one; check the clock"));
        }
        let own = match &texts.own {
            None => None,
            Some((chain, key)) => {
                let own = Self::identity(chain, key, now, &mut spans)?;
                marks.extend(own.cert.iter().map(|c| c.to_vec()));
                Some(Arc::new(own))
            }
        };
        let mut revoked = Vec::new();
        for text in &texts.revoked {
            let lists: Result<Vec<_>, _> =
                CertificateRevocationListDer::pem_slice_iter(&text.bytes).collect();
            let lists = lists.map_err(|e| fault(&text.file, e, "write PEM revocation lists whole"))?;
            if lists.is_empty() {
                return Err(fault(&text.file, "holds no revocation list", "write PEM lists (X509 CRL)"));
            }
            marks.extend(lists.iter().map(|l| l.as_ref().to_vec()));
            revoked.extend(lists);
        }
        Ok(Generation { number, trusted: Arc::new(trusted), own, revoked, spans, marks })
    }

    fn identity(chain: &Named, key: &Named, now: Ns, spans: &mut Vec<Span>) -> Result<CertifiedKey, Fault> {
        let certificates = certificates(chain)?;
        let mut issuer: Option<Vec<u8>> = None;
        for der in &certificates {
            let (span, subject, by) = looked(&chain.file, der)?;
            if issuer.is_some_and(|issuer| issuer != subject) {
                let what = format!("{} does not follow the one that it issued", span.subject);
                return Err(fault(&chain.file, what, "put the own certificate first, each issuer after it"));
            }
            if now < span.from {
                return Err(fault(
                    &chain.file,
                    format_args!("{}: not yet valid", span.subject),
                    "check the clock",
                ));
            }
            if now >= span.until {
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

    pub fn ends(&self) -> Option<&Span> {
        self.spans.iter().min_by_key(|s| s.until)
    }
}

/// What became of files that were read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// In force from now on, under this number.
    New(u64),
    /// Nothing in them is new.
    Same,
}

/// An end that comes near.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub span: Span,
    /// Whole days that are left; 0: it has ended or ends today.
    pub days: u64,
}

/// The generation in force; those who read it never wait for who changes it.
#[derive(Debug)]
pub struct Keys {
    current: ArcSwap<Generation>,
}

impl Keys {
    pub fn new(texts: &Texts, now: Ns) -> Result<Keys, Fault> {
        Ok(Keys { current: ArcSwap::from_pointee(Generation::of(1, texts, now)?) })
    }

    /// Kept by whatever begins now, as long as that lasts.
    pub fn current(&self) -> Arc<Generation> {
        self.current.load_full()
    }

    /// Takes what the files say now, whole; a fault leaves the old generation in force. To be called by one thread.
    pub fn offer(&self, texts: &Texts, now: Ns) -> Result<Taken, Fault> {
        let before = self.current();
        let next = Generation::of(before.number + 1, texts, now)?;
        if next.marks == before.marks {
            return Ok(Taken::Same);
        }
        let number = next.number;
        self.current.store(Arc::new(next));
        Ok(Taken::New(number))
    }
}

/// Tells of ends that come near, each once at 30, 7 and 1 days ahead and once when it has come.
#[derive(Debug, Default)]
pub struct Watch {
    said: BTreeSet<(String, Ns, u64)>,
}

impl Watch {
    pub fn look(&mut self, generation: &Generation, now: Ns) -> Vec<Notice> {
        let live =
            |s: &(String, Ns, u64)| generation.spans.iter().any(|g| (&g.subject, g.until) == (&s.0, s.1));
        self.said.retain(live);
        let mut notices = Vec::new();
        for span in &generation.spans {
            let left = span.until.saturating_sub(now);
            // The nearest mark that has been passed; those before it need no word any more.
            let passed = AHEAD.iter().copied().filter(|d| left <= d * DAY).min();
            let mark = if left == 0 { Some(0) } else { passed };
            if let Some(mark) = mark
                && self.said.insert((span.subject.clone(), span.until, mark))
            {
                notices.push(Notice { span: span.clone(), days: left / DAY });
            }
        }
        notices
    }
}
