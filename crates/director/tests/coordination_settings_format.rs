//! The coordination settings with every key and every default, the tag of a health check, and the frame of a call
//! between members, as literals: a rename in the source must not change them.
#![cfg(feature = "duty")]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use sablecross_director::duty::settings::{DRIVING, DUTIES, Setting, WARMING, named};
use sablecross_director::duty::{Tag, ask};
use sablecross_duty::word::{Answer, Request, Word};
use sablecross_duty::{Member, Pace, Terms, Token};

const MS: u64 = 1_000_000;

#[test]
fn every_key_of_the_settings() {
    let text = r#"
(duty (lease-ms . 301) (round-ms . 102) (apart-ms . 53) (beat-ms . 204) (probe-ms . 1005) (patience-ms . 406)
      (gone-after-ms . 60007) (probing . #t) (warming . #t) (warm-bears . 20.5) (warm-part . 0.75) (warm-objects . 208))
(voter (number . 9) (address . "127.0.0.1:10089"))
(voter (number . 1) (address . "[::1]:10081"))
"#;
    let whole = Setting {
        terms: Terms {
            voters: vec![9, 1],
            duties: vec![0, 1, 2],
            lease: 301 * MS,
            round: 102 * MS,
            apart: 53 * MS,
            beat: 204 * MS,
            probe: 1_005 * MS,
            patience: 406 * MS,
        },
        addresses: vec!["127.0.0.1:10089".parse().expect("one"), "[::1]:10081".parse().expect("one")],
        probing: true,
        gone_after: 60_007 * MS,
        warming: Some(Pace { bears: 20.5, part: 0.75, from: 1.0, after: 0, patience: 301 * MS, most: 208 }),
    };
    assert_eq!(Setting::parse("f", text).expect("read"), whole);
    let without = text.replace("(probing . #t) (warming . #t)", "(probing . #f) (warming . #f)");
    assert_eq!(
        Setting::parse("f", &without).expect("read"),
        Setting { probing: false, warming: None, ..whole }
    );
}

#[test]
fn every_default_of_the_settings() {
    let voter = "(voter (number . 0) (address . \"127.0.0.1:10080\"))";
    let defaults = Setting {
        terms: Terms {
            voters: vec![0],
            duties: vec![0, 1, 2],
            lease: 1_000 * MS,
            round: 200 * MS,
            apart: 50 * MS,
            beat: 200 * MS,
            probe: 1_000 * MS,
            patience: 400 * MS,
        },
        addresses: vec!["127.0.0.1:10080".parse().expect("one")],
        probing: true,
        gone_after: 60_000 * MS,
        warming: None,
    };
    assert_eq!(Setting::parse("f", &format!("(duty)\n{voter}")).expect("read"), defaults);
    let warming = Pace { bears: 20.0, part: 0.25, from: 1.0, after: 0, patience: 1_000 * MS, most: 200 };
    assert_eq!(
        Setting::parse("f", &format!("(duty (warming . #t))\n{voter}")).expect("read"),
        Setting { warming: Some(warming), ..defaults }
    );
}

#[test]
fn what_is_wrong_is_named_by_file_line_key_and_cause() {
    let voter = "(voter (number . 0) (address . \"127.0.0.1:1\"))";
    let mut said = Vec::new();
    for text in [
        voter.to_owned(),
        "(duty)".into(),
        format!("(duty (lease-ms . 10))\n{voter}"),
        format!("(duty (lease-ms . 300) (round-ms . 200))\n{voter}"),
        format!("(duty (warming . #t) (probing . #f))\n{voter}"),
        format!("(duty (warm-part . 2.0))\n{voter}"),
        format!("(duty)\n{voter}\n{voter}"),
        format!("(duty)\n(duty)\n{voter}"),
        "(duty)\n(voter (number . 0) (address . \"here\"))".into(),
        "(duty)\n(voter (number . 2000000) (address . \"127.0.0.1:1\"))".into(),
        format!("(duty (lease . 10))\n{voter}"),
        format!("(duty)\n{voter}\n(owner)"),
    ] {
        let faults = Setting::parse("f", &text).expect_err(&text);
        said.push(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "));
    }
    let expected = [
        r#"f:1:1: duty: no (duty ...) form (add one)"#,
        r#"f:1:1: voter: between 1 and 15 voters are needed (three or five are usual)"#,
        r#"f:1:8: duty.lease-ms: lower than 50"#,
        r#"f:1:1: duty.round-ms: longer than half of the lease (an owner has to renew in time)"#,
        r#"f:1:1: duty.warming: boxes are not probed (warming goes by the same connections)"#,
        r#"f:1:8: duty.warm-part: greater than 1"#,
        r#"f:3:1: voter: its number or address is another voter's too (each votes once)"#,
        r#"f:2:1: duty: a second one (keep one)"#,
        r#"f:2:22: voter.address: invalid socket address syntax"#,
        r#"f:2:9: voter.number: greater than 1000000"#,
        r#"f:1:8: duty.lease: unknown field `lease`, expected one of `lease-ms`, `round-ms`, `apart-ms`, `beat-ms`, `probe-ms`, `patience-ms`, `gone-after-ms`, `probing`, `warming`, `warm-bears`, `warm-part`, `warm-objects`"#,
        r#"f:3:1: unknown variant `owner`, expected `duty` or `voter`"#,
    ];
    assert_eq!(said, expected);
}

#[test]
fn the_names_and_numbers_of_what_a_member_can_own() {
    assert_eq!(DUTIES, [(0, "dealing"), (1, "driving"), (2, "warming")]);
    assert_eq!((DRIVING, WARMING, named(1), named(3)), (1, 2, "driving", "unknown"));
}

#[test]
fn the_tag_of_a_health_check() {
    let tag = Tag { token: Token { term: 0xa1, owner: Member { number: 0xb2, life: 0xc3 } }, number: 0xd4 };
    assert_eq!(tag.to_string(), "a1-b2-c3-d4");
    assert_eq!("a1-b2-c3-d4".parse(), Ok(tag));
    for odd in ["", "a1-b2-c3", "a1-b2-c3-x", "a1-100000000-c3-d4"] {
        assert_eq!(odd.parse::<Tag>(), Err(()), "{odd}");
    }
}

#[test]
fn a_call_is_this_frame_and_its_answer_that_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let at = listener.local_addr().expect("bound");
    let voter = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("called");
        // An array of four: a call, its number, the method, and no fields beside the body.
        let call = b"\x94\x00\x01\xa4duty\x92\x80\xc4\x0a\x92\x92\x07\x08\x91\xa4Show";
        let mut came = vec![0; call.len()];
        stream.read_exact(&mut came).expect("a call");
        assert_eq!(came.escape_ascii().to_string(), call.escape_ascii().to_string());
        let body = b"\x91\x81\xa9HandsOver\x92\x01\xc3";
        stream.write_all(b"\x94\x01\x01\xc0\x92\xc4").expect("answered");
        stream.write_all(&[body.len() as u8]).expect("answered");
        stream.write_all(body).expect("answered");
        stream.write_all(b"\x80").expect("answered");
    });
    let request = Request { from: Member { number: 7, life: 8 }, words: vec![Word::Show] };
    let answers = ask(at, &request, Duration::from_secs(5));
    voter.join().expect("the frame");
    assert_eq!(answers.expect("answered"), [Answer::HandsOver(1, true)]);
}
