//! Tests of configurations that several threads write at the same time.

use std::sync::atomic::{AtomicBool, Ordering};

use super::*;
use crate::ports::PortAllocator;

const CONFIGURATIONS: usize = 20;
const THREADS: usize = 4;

fn options() -> Options {
    Options { seed: 1, seconds: 5, directors: 1, caches: 1, clients_per_director: 1, fault_library: None }
}

/// Returns how many events a configuration file holds.
fn known_events(director: &Director) -> usize {
    let text = std::fs::read_to_string(&director.config).unwrap();
    let config: Value = serde_json::from_str(&text).unwrap();
    config["known"]["events"].as_array().unwrap().len()
}

/// Guards against false violations: the checker counts a director as notified of the events in its configuration, so a
/// reload must not replace that configuration with one that has fewer events.
#[test]
fn no_configuration_is_replaced_by_one_with_fewer_events() {
    let folder = tempfile::tempdir().unwrap();
    let checker = Arc::new(RuleChecker::new());
    let port = PortAllocator::new().allocate().unwrap();
    let director = Director::new(0, port, folder.path(), &checker);
    let discovery = Discovery::start(&checker, 1).unwrap();
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                discovery.publish("\"purge\":{\"key\":\"1\",\"at\":1}", None);
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        let workers: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    for _ in 0..CONFIGURATIONS {
                        let written = director.configure(&options(), &discovery).unwrap();
                        assert!(known_events(&director) >= written);
                    }
                })
            })
            .collect();
        let results: Vec<_> = workers.into_iter().map(|worker| worker.join()).collect();
        over.store(true, Ordering::Relaxed);
        assert!(results.iter().all(Result::is_ok), "a configuration with fewer events, or none");
    });
}
