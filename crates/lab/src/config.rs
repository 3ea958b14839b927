//! The configuration of a director on loopback.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::feed::Feed;
use crate::load::BUDGET_MS;

/// What its nodes are like: the rule on cold ones, and how fast one transfer runs.
pub struct Like {
    pub cold_from: f64,
    pub warm_us: u64,
    pub falls_at: f64,
    pub stream_kb_per_s: f64,
}

/// One of so many directors of the only location, with what the feed has told up to now.
pub fn configuration(
    number: usize,
    directors: usize,
    seed: u64,
    listen: SocketAddr,
    feed: &Feed,
    like: &Like,
) -> Value {
    let known: Vec<Value> =
        feed.known().iter().filter_map(|event| serde_json::from_str(event).ok()).collect();
    json!({
        "name": format!("director-{number}"), "listen": listen, "seed": format!("{:x}", seed + number as u64),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": feed.address,
        "flow_bytes_per_s": 1e6, "link_bytes_per_s": 1e7, "known": {"n": known.len(), "events": known},
        "settings": {
            "az": 1, "index": number, "discovery": "pushed", "periodUs": 1000, "zones": ["hub", "edge"],
            "kinds": ["small", "parent", "origin"],
            "classes": [{"name": "footage", "effect": "idempotent", "group": "all", "memorySpanUs": 5_000_000,
                "aimUs": 300_000, "aimStretch": 1.6, "deadlineUs": BUDGET_MS * 1_000, "worth": 2.0}],
            "ceilings": {"mayCancel": true, "parallelTries": true, "retryAfter": true, "maxRetryAfterUs": 500_000,
                "sendCap": 6, "dialTimeoutUs": 400_000, "keepaliveUs": 30_000_000},
            "guarantees": {"coldFrom": like.cold_from, "warmAfterUs": like.warm_us, "fallMultiple": like.falls_at,
                "fallUs": 1_000_000, "drainGraceUs": 2_000_000, "answerSlackUs": 5_000},
            "report": {"how": "none", "names": []},
            "extra": {"freshForUs": [0], "usableAfterUs": [0], "multiPart": [false], "neverKept": [false],
                "midKind": 1, "masterKind": 2, "direct": true, "joins": true,
                "streamKbPerS": like.stream_kb_per_s, "clearedWithinUs": 1_000_000,
                "parentStartsAt": like.cold_from, "parentColdUs": like.warm_us,
                "upperFallMultiple": like.falls_at, "zoneBalancers": [0, directors]}
        }
    })
}
