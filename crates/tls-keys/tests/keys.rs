//! Certificates at the door, generations, ends, handshakes in bounds.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, date_time_ymd};
use sablecross_tls_keys::generation::ExpiryWatch;
use sablecross_tls_keys::handshake_limiter::HandshakeDenied;
use sablecross_tls_keys::policy::RequiredSecurity;
use sablecross_tls_keys::{
    Generation, HandshakeLimiter, HandshakeLimits, KeyFiles, KeyStore, NodeMatcher, ReloadOutcome,
    TransportPolicy, TransportSecurity,
};

const SEC: u64 = 1_000_000_000;
const DAY: u64 = 86_400 * SEC;

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64
}

struct Made {
    folder: tempfile::TempDir,
}

fn params(name: &str, years: (i32, i32), ca: bool) -> CertificateParams {
    let mut p = CertificateParams::new(vec![name.to_owned()]).unwrap();
    p.distinguished_name.push(DnType::CommonName, name);
    (p.not_before, p.not_after) = (date_time_ymd(years.0, 1, 1), date_time_ymd(years.1, 1, 1));
    if ca {
        p.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    }
    p
}

const LONG: (i32, i32) = (2020, 2060);

impl Made {
    fn new() -> Made {
        Made { folder: tempfile::tempdir().unwrap() }
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let file = self.folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o600)).unwrap();
        file
    }

    /// An authority, and an own certificate by it, for these years.
    fn pair(&self, years: (i32, i32)) -> KeyFiles {
        let ca_key = KeyPair::generate().unwrap();
        let ca = params("authority", LONG, true).self_signed(&ca_key).unwrap();
        let issuer = Issuer::new(params("authority", LONG, true), ca_key);
        let key = KeyPair::generate().unwrap();
        let own = params("director", years, false).signed_by(&key, &issuer).unwrap();
        let chain = self.file("chain.pem", &(own.pem() + &ca.pem()));
        let key = self.file("key.pem", &key.serialize_pem());
        KeyFiles {
            trusted_roots: self.file("ca.pem", &ca.pem()),
            identity: Some((chain, key)),
            revocation_lists: vec![],
            allow_world_readable_key: false,
        }
    }
}

fn text(file: &Path) -> String {
    std::fs::read_to_string(file).unwrap()
}

#[test]
fn a_pair_is_taken_whole_or_refused_by_file_and_reason() {
    let made = Made::new();
    let files = made.pair(LONG);
    let (chain, key) = files.identity.clone().unwrap();
    let keys = KeyStore::new(&files.read().unwrap(), now()).unwrap();
    assert!(keys.current().identity.is_some());
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
    for (file, bad, why) in cases {
        let good = text(file);
        std::fs::write(file, bad).unwrap();
        let said = keys.reload(&files.read().unwrap(), now()).unwrap_err().to_string();
        assert!(said.contains(why), "{said} / {why}");
        assert_eq!(keys.current().number, 1);
        std::fs::write(file, good).unwrap();
    }
    assert_eq!(keys.reload(&files.read().unwrap(), now()), Ok(ReloadOutcome::Unchanged));
    // A new pair is a new generation; who began with the old one has it still.
    let old = keys.current();
    let next = made.pair(LONG);
    assert_eq!(keys.reload(&next.read().unwrap(), now()), Ok(ReloadOutcome::Installed(2)));
    assert_eq!((old.number, keys.current().number), (1, 2));
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o644)).unwrap();
    let said = files.read().unwrap_err().to_string();
    assert!(said.contains("others may read this key (mode 044)"), "{said}");
    assert!(KeyFiles { allow_world_readable_key: true, ..files.clone() }.read().is_ok());
    std::fs::remove_file(&key).unwrap();
    assert!(files.read().unwrap_err().to_string().contains("key.pem: No such file"));
}

#[test]
fn an_authority_that_has_ended_beside_one_that_has_not_is_a_roll_over() {
    let made = Made::new();
    let files = made.pair(LONG);
    let ended = params("before", (2020, 2021), true).self_signed(&KeyPair::generate().unwrap()).unwrap();
    let (old, new) = (ended.pem(), text(&files.trusted_roots));
    let keys = KeyStore::new(&files.read().unwrap(), now()).unwrap();
    std::fs::write(&files.trusted_roots, format!("{old}{new}")).unwrap();
    assert_eq!(keys.reload(&files.read().unwrap(), now()), Ok(ReloadOutcome::Installed(2)));
    assert_eq!(keys.current().trusted_roots.len(), 2);
    std::fs::write(&files.trusted_roots, old).unwrap();
    assert!(
        keys.reload(&files.read().unwrap(), now())
            .unwrap_err()
            .to_string()
            .contains("no authority is valid now")
    );
    assert_eq!(keys.current().number, 2);
}

#[test]
fn spans_count_by_the_clock() {
    let made = Made::new();
    for (years, why) in [((2020, 2021), "expired"), ((2058, 2059), "not yet valid")] {
        let said =
            Generation::from_material(1, &made.pair(years).read().unwrap(), now()).unwrap_err().to_string();
        assert!(said.contains(why) && said.contains("CN=director"), "{said}");
    }
    // A clock that is off by decades finds no authority.
    let texts = made.pair(LONG).read().unwrap();
    assert!(
        Generation::from_material(1, &texts, DAY)
            .unwrap_err()
            .to_string()
            .contains("no authority is valid now")
    );
}

#[test]
fn ends_are_told_once_at_each_mark() {
    let made = Made::new();
    let generation = Generation::from_material(1, &made.pair(LONG).read().unwrap(), now()).unwrap();
    let until = generation.earliest_expiry().unwrap().not_after;
    let mut watch = ExpiryWatch::default();
    // Three certificates end then: the authority, and both of the chain, one of which is the authority again.
    let told: Vec<(u64, usize)> = [40, 30, 29, 8, 7, 3, 1, 0]
        .into_iter()
        .map(|days| (days, watch.check(&generation, until - days * DAY).len()))
        .collect();
    assert_eq!(told, [(40, 0), (30, 2), (29, 0), (8, 0), (7, 2), (3, 0), (1, 2), (0, 2)]);
    assert_eq!(ExpiryWatch::default().check(&generation, until - 3 * DAY)[0].days_left, 3);
}

#[test]
fn no_word_of_a_key_is_ever_said() {
    let made = Made::new();
    let files = made.pair(LONG);
    let (chain, key) = files.identity.clone().unwrap();
    let secret: Vec<String> = text(&key).lines().filter(|l| !l.starts_with('-')).map(str::to_owned).collect();
    let texts = files.read().unwrap();
    let keys = KeyStore::new(&texts, now()).unwrap();
    std::fs::write(&chain, text(&key)).unwrap();
    let swapped = KeyFiles { identity: Some((key.clone(), chain.clone())), ..files.clone() };
    let said = [
        format!("{texts:?} {keys:?} {:?}", keys.current()),
        format!("{:?}", keys.reload(&swapped.read().unwrap(), now()).unwrap_err()),
        format!("{:?}", keys.reload(&files.read().unwrap(), now()).unwrap_err()),
    ];
    for said in said {
        assert!(secret.iter().all(|line| !said.contains(&**line)), "{said}");
        assert!(!said.contains(&format!("{:?}", &text(&key).as_bytes()[40..48])), "{said}");
    }
}

#[test]
fn the_first_line_that_fits_decides_and_none_is_not_plain() {
    let tls = |identity: Option<&str>| RequiredSecurity::Tls {
        identity: identity.map(str::to_owned),
        may_resume_sessions: true,
    };
    let of = |name: Option<&str>, zone: Option<&str>, tier| NodeMatcher {
        name: name.map(str::to_owned),
        zone: zone.map(str::to_owned),
        tier,
    };
    let policy = TransportPolicy {
        rules: vec![
            (of(Some("upper-a"), None, None), tls(Some("spiffe://office/{}"))),
            (of(None, Some("far"), Some(1)), tls(None)),
            (of(None, Some("near"), None), RequiredSecurity::Plaintext),
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
fn handshakes_keep_within_their_bounds() {
    let bounds = HandshakeLimits {
        max_concurrent: 3,
        max_per_second: 10.0,
        initial_backoff: SEC,
        max_backoff: 8 * SEC,
    };
    let mut s = HandshakeLimiter::new(bounds, 0);
    assert_eq!([0, 1, 2].map(|n| s.try_begin(n, 1, 0)), [Ok(()); 3]);
    assert_eq!(s.try_begin(3, 1, 0), Err(HandshakeDenied::TooManyConcurrent));
    // A storm of a thousand nodes at once: no second has more than its ten, and the ten saved up.
    let mut begun = vec![0; 11];
    (0..3).for_each(|n| s.on_finished(n, true));
    for at in 0..10_000u64 {
        if s.try_begin(at as usize % 1_000, 1, at * SEC / 1_000).is_ok() {
            begun[at as usize / 1_000] += 1;
            s.on_finished(at as usize % 1_000, true);
        }
    }
    assert!(
        begun[0] <= 17 && begun[1..].iter().all(|&n| n <= 11) && begun.iter().sum::<i32>() >= 95,
        "{begun:?}"
    );
    // A bad certificate rests twice as long each time, up to a bound; a new generation tries at once.
    let mut at = 20 * SEC;
    for rest in [1, 2, 4, 8, 8] {
        assert_eq!(s.try_begin(7, 1, at), Ok(()));
        assert_eq!(s.on_rejected(7, 1, at), rest * SEC);
        assert_eq!(s.try_begin(7, 1, at + rest * SEC - 1), Err(HandshakeDenied::BackingOff(1)));
        at += rest * SEC;
    }
    s.try_begin(7, 1, at).unwrap();
    s.on_rejected(7, 1, at);
    assert_eq!(s.try_begin(7, 2, at), Ok(()));
    s.on_finished(7, true);
    assert_eq!((s.try_begin(7, 1, at + 1), s.in_progress()), (Ok(()), 1));
}
