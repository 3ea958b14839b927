//! Checks of certificates and keys before use, reloads, expiry notices, the transport policy and handshake limits.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, date_time_ymd};
use sablecross_tls_keys::{
    ExpiryWatch, Generation, HandshakeDenied, HandshakeLimiter, HandshakeLimits, IdentityFiles, KeyFiles,
    KeyStore, NodeMatcher, ReloadOutcome, RequiredSecurity, TransportPolicy, TransportRule,
    TransportSecurity,
};

const SECOND: u64 = 1_000_000_000;
const DAY: u64 = 86_400 * SECOND;

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64
}

struct TestFiles {
    directory: tempfile::TempDir,
}

fn certificate_params(name: &str, years: (i32, i32), is_authority: bool) -> CertificateParams {
    let mut p = CertificateParams::new(vec![name.to_owned()]).unwrap();
    p.distinguished_name.push(DnType::CommonName, name);
    (p.not_before, p.not_after) = (date_time_ymd(years.0, 1, 1), date_time_ymd(years.1, 1, 1));
    if is_authority {
        p.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    }
    p
}

const VALID_YEARS: (i32, i32) = (2020, 2060);

impl TestFiles {
    fn new() -> TestFiles {
        TestFiles { directory: tempfile::tempdir().unwrap() }
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let file = self.directory.path().join(name);
        std::fs::write(&file, text).unwrap();
        std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o600)).unwrap();
        file
    }

    /// Writes the files of an authority and of a certificate that it issued, which is valid for these years.
    fn write_key_files(&self, years: (i32, i32)) -> KeyFiles {
        let ca_key = KeyPair::generate().unwrap();
        let ca = certificate_params("authority", VALID_YEARS, true).self_signed(&ca_key).unwrap();
        let issuer = Issuer::new(certificate_params("authority", VALID_YEARS, true), ca_key);
        let key = KeyPair::generate().unwrap();
        let own = certificate_params("director", years, false).signed_by(&key, &issuer).unwrap();
        let chain = self.file("chain.pem", &(own.pem() + &ca.pem()));
        let key = self.file("key.pem", &key.serialize_pem());
        KeyFiles {
            trusted_roots: self.file("ca.pem", &ca.pem()),
            identity: Some(IdentityFiles { chain, key }),
            revocation_lists: vec![],
            allow_world_readable_key: false,
        }
    }
}

fn text(file: &Path) -> String {
    std::fs::read_to_string(file).unwrap()
}

#[test]
fn certificate_and_key_are_installed_together_or_rejected_with_file_and_reason() {
    let test_files = TestFiles::new();
    let files = test_files.write_key_files(VALID_YEARS);
    let IdentityFiles { chain, key } = files.identity.clone().unwrap();
    let store = KeyStore::new(&files.read().unwrap(), now()).unwrap();
    assert!(store.current().identity.is_some());
    let (good_chain, good_key) = (text(&chain), text(&key));
    let other = KeyPair::generate().unwrap().serialize_pem();
    let reversed = {
        let at = good_chain.rfind("-----BEGIN").unwrap();
        format!("{}{}", &good_chain[at..], &good_chain[..at])
    };
    let cut = &good_chain[..good_chain.len() / 2 - 40];
    let cases: Vec<(&Path, &str, &str)> = vec![
        (&key, &other, "key.pem: does not fit"),
        (&key, "", "key.pem: holds no private key"),
        (&key, &good_key[..40], "key.pem: holds no private key"),
        (&chain, "", "chain.pem: holds no certificate"),
        (&chain, &reversed, "does not follow the one that it issued"),
        (&chain, cut, "chain.pem: "),
        (&files.trusted_roots, "", "ca.pem: holds no certificate"),
        (&files.trusted_roots, "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n", "ca.pem: "),
    ];
    for (file, bad, reason) in cases {
        let good = text(file);
        std::fs::write(file, bad).unwrap();
        let output = store.reload(&files.read().unwrap(), now()).unwrap_err().to_string();
        assert!(output.contains(reason), "{output} / {reason}");
        assert_eq!(store.current().number, 1);
        std::fs::write(file, good).unwrap();
    }
    assert_eq!(store.reload(&files.read().unwrap(), now()), Ok(ReloadOutcome::Unchanged));
    // A new certificate and key make a new generation; holders of the old one keep it.
    let old = store.current();
    let next = test_files.write_key_files(VALID_YEARS);
    assert_eq!(store.reload(&next.read().unwrap(), now()), Ok(ReloadOutcome::Installed(2)));
    assert_eq!((old.number, store.current().number), (1, 2));
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    let output = files.read().unwrap_err().to_string();
    assert!(output.contains("others may read this key (mode 044)"), "{output}");
    assert!(KeyFiles { allow_world_readable_key: true, ..files.clone() }.read().is_ok());
    std::fs::remove_file(&key).unwrap();
    assert!(files.read().unwrap_err().to_string().contains("key.pem: No such file"));
}

#[test]
fn an_expired_authority_beside_a_valid_one_is_accepted() {
    let test_files = TestFiles::new();
    let files = test_files.write_key_files(VALID_YEARS);
    let expired_authority =
        certificate_params("before", (2020, 2021), true).self_signed(&KeyPair::generate().unwrap()).unwrap();
    let (old, new) = (expired_authority.pem(), text(&files.trusted_roots));
    let store = KeyStore::new(&files.read().unwrap(), now()).unwrap();
    std::fs::write(&files.trusted_roots, format!("{old}{new}")).unwrap();
    assert_eq!(store.reload(&files.read().unwrap(), now()), Ok(ReloadOutcome::Installed(2)));
    assert_eq!(store.current().trusted_roots.len(), 2);
    std::fs::write(&files.trusted_roots, old).unwrap();
    assert!(
        store
            .reload(&files.read().unwrap(), now())
            .unwrap_err()
            .to_string()
            .contains("no authority is valid now")
    );
    assert_eq!(store.current().number, 2);
}

/// Guards against an authority that stays trusted after its removal, because its certificate still stands in the own chain.
#[test]
fn an_authority_that_is_removed_is_trusted_no_longer() {
    let test_files = TestFiles::new();
    let files = test_files.write_key_files(VALID_YEARS);
    let other_authority =
        certificate_params("other", VALID_YEARS, true).self_signed(&KeyPair::generate().unwrap()).unwrap();
    let own = text(&files.trusted_roots);
    std::fs::write(&files.trusted_roots, own.clone() + &other_authority.pem()).unwrap();
    let store = KeyStore::new(&files.read().unwrap(), now()).unwrap();
    std::fs::write(&files.trusted_roots, other_authority.pem() + &own).unwrap();
    assert_eq!(store.reload(&files.read().unwrap(), now()), Ok(ReloadOutcome::Unchanged));
    std::fs::write(&files.trusted_roots, other_authority.pem()).unwrap();
    assert_eq!(store.reload(&files.read().unwrap(), now()), Ok(ReloadOutcome::Installed(2)));
    assert_eq!(store.current().trusted_roots.len(), 1);
}

#[test]
fn validity_is_checked_against_the_clock() {
    let test_files = TestFiles::new();
    for (years, reason) in [((2020, 2021), "expired"), ((2058, 2059), "not yet valid")] {
        let output = Generation::from_material(1, &test_files.write_key_files(years).read().unwrap(), now())
            .unwrap_err()
            .to_string();
        assert!(output.contains(reason) && output.contains("CN=director"), "{output}");
    }
    // With a clock that is wrong by decades, no authority is valid.
    let material = test_files.write_key_files(VALID_YEARS).read().unwrap();
    assert!(
        Generation::from_material(1, &material, DAY)
            .unwrap_err()
            .to_string()
            .contains("no authority is valid now")
    );
}

#[test]
fn each_expiry_notice_is_issued_once() {
    let test_files = TestFiles::new();
    let generation =
        Generation::from_material(1, &test_files.write_key_files(VALID_YEARS).read().unwrap(), now())
            .unwrap();
    let until = generation.earliest_expiry().unwrap().not_after;
    let mut watch = ExpiryWatch::default();
    // Three certificates expire at that time: the trusted authority and both of the chain, one of which is the same
    // authority and shares its notices.
    let notice_counts: Vec<(u64, usize)> = [40, 30, 29, 8, 7, 3, 1, 0]
        .into_iter()
        .map(|days| (days, watch.check(&generation, until - days * DAY).len()))
        .collect();
    assert_eq!(notice_counts, [(40, 0), (30, 2), (29, 0), (8, 0), (7, 2), (3, 0), (1, 2), (0, 2)]);
    assert_eq!(ExpiryWatch::default().check(&generation, until - 3 * DAY)[0].days_left, 3);
}

#[test]
fn no_error_or_debug_output_quotes_a_key() {
    let test_files = TestFiles::new();
    let files = test_files.write_key_files(VALID_YEARS);
    let IdentityFiles { chain, key } = files.identity.clone().unwrap();
    let secret: Vec<String> = text(&key).lines().filter(|l| !l.starts_with('-')).map(str::to_owned).collect();
    let material = files.read().unwrap();
    let store = KeyStore::new(&material, now()).unwrap();
    std::fs::write(&chain, text(&key)).unwrap();
    let swapped = KeyFiles {
        identity: Some(IdentityFiles { chain: key.clone(), key: chain.clone() }),
        ..files.clone()
    };
    let outputs = [
        format!("{material:?} {store:?} {:?}", store.current()),
        format!("{:?}", store.reload(&swapped.read().unwrap(), now()).unwrap_err()),
        format!("{:?}", store.reload(&files.read().unwrap(), now()).unwrap_err()),
    ];
    for output in outputs {
        assert!(secret.iter().all(|line| !output.contains(&**line)), "{output}");
        assert!(!output.contains(&format!("{:?}", &text(&key).as_bytes()[40..48])), "{output}");
    }
}

#[test]
fn the_first_matching_rule_applies_and_no_match_is_not_plaintext() {
    let tls = |identity: Option<&str>| RequiredSecurity::Tls {
        identity: identity.map(str::to_owned),
        may_resume_sessions: true,
    };
    let matcher = |name: Option<&str>, zone: Option<&str>, tier| NodeMatcher {
        name: name.map(str::to_owned),
        zone: zone.map(str::to_owned),
        tier,
    };
    let rule = |matcher, required| TransportRule { matcher, required };
    let policy = TransportPolicy {
        rules: vec![
            rule(matcher(Some("upper-a"), None, None), tls(Some("spiffe://office/{}"))),
            rule(matcher(None, Some("far"), Some(1)), tls(None)),
            rule(matcher(None, Some("near"), None), RequiredSecurity::Plaintext),
        ],
    };
    let named = |identity: &str| {
        Some(TransportSecurity::Tls { identity: identity.into(), may_resume_sessions: true })
    };
    assert_eq!(policy.security_for("upper-a", "near", 1), named("spiffe://office/upper-a"));
    assert_eq!(policy.security_for("upper-b", "far", 1), named("upper-b"));
    assert_eq!(policy.security_for("upper-b", "near", 1), Some(TransportSecurity::Plaintext));
    assert_eq!(policy.security_for("upper-b", "far", 2), None);
}

#[test]
fn handshakes_stay_within_their_limits() {
    let limits = HandshakeLimits {
        max_concurrent: 3,
        max_per_second: 10.0,
        initial_backoff: SECOND,
        max_backoff: 8 * SECOND,
    };
    let mut limiter = HandshakeLimiter::new(limits, 0);
    assert_eq!([0, 1, 2].map(|n| limiter.try_begin(n, 1, 0)), [Ok(()); 3]);
    assert_eq!(limiter.try_begin(3, 1, 0), Err(HandshakeDenied::TooManyConcurrent));
    // A thousand nodes try handshakes for ten seconds: each second admits about the rate of ten, and the first one
    // also the saved tokens.
    let mut begun_per_second = vec![0; 11];
    (0..3).for_each(|n| limiter.on_finished(n, true));
    for at in 0..10_000u64 {
        if limiter.try_begin(at as usize % 1_000, 1, at * SECOND / 1_000).is_ok() {
            begun_per_second[at as usize / 1_000] += 1;
            limiter.on_finished(at as usize % 1_000, true);
        }
    }
    assert!(
        begun_per_second[0] <= 17
            && begun_per_second[1..].iter().all(|&n| n <= 11)
            && begun_per_second.iter().sum::<i32>() >= 95,
        "{begun_per_second:?}"
    );
    // The backoff of a node with a rejected certificate doubles up to its limit; a new generation retries at once.
    let mut at = 20 * SECOND;
    for backoff in [1, 2, 4, 8, 8] {
        assert_eq!(limiter.try_begin(7, 1, at), Ok(()));
        assert_eq!(limiter.on_rejected(7, 1, at), backoff * SECOND);
        assert_eq!(limiter.try_begin(7, 1, at + backoff * SECOND - 1), Err(HandshakeDenied::BackingOff(1)));
        at += backoff * SECOND;
    }
    limiter.try_begin(7, 1, at).unwrap();
    limiter.on_rejected(7, 1, at);
    assert_eq!(limiter.try_begin(7, 2, at), Ok(()));
    limiter.on_finished(7, true);
    assert_eq!((limiter.try_begin(7, 1, at + 1), limiter.in_progress()), (Ok(()), 1));
}
