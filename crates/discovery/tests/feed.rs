//! The reading side: bytes cut anywhere, what is news, whom to call.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_discovery::{
    EventCursor, EventStreamParser, EventVerdict, FeedSelector, ResubscribeReason, StreamError, StreamItem,
    events_request,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n";
const BODY: &str = ": tick\n\nid: 1\ndata: {\"n\":1}\n\n\n\nid:2\r\ndata: a\r\ndata: b\r\n\r\nevent: x\nid: 3\n\nid: x\ndata: c\n\n:\n\n";

fn event(id: Option<u64>, data: &str) -> StreamItem {
    StreamItem::Event { id, data: data.into() }
}

fn body() -> Vec<StreamItem> {
    vec![
        StreamItem::Connected,
        StreamItem::Comment("tick".into()),
        event(Some(1), "{\"n\":1}"),
        event(Some(2), "a\nb"),
        event(None, "c"),
        StreamItem::Comment(String::new()),
    ]
}

fn heard(
    stream: &mut EventStreamParser,
    pieces: impl Iterator<Item = Vec<u8>>,
) -> Result<Vec<StreamItem>, StreamError> {
    let mut all = Vec::new();
    for piece in pieces {
        stream.push(&piece);
        while let Some(said) = stream.next_item()? {
            all.push(said);
        }
    }
    Ok(all)
}

fn chunked(body: &str, rng: &mut Pcg32) -> String {
    let (mut out, mut left) = (String::from(CHUNKED), body);
    while !left.is_empty() {
        let n = rng.random_range(1..=left.len().min(9));
        out += &format!("{n:x};x=y\r\n{}\r\n", &left[..n]);
        left = &left[n..];
    }
    out
}

#[test]
fn bytes_cut_anywhere_say_the_same() {
    for seed in 0..2_000 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let whole = if seed % 2 == 0 { HEAD.to_owned() + BODY } else { chunked(BODY, &mut rng) };
        let (mut left, mut pieces) = (whole.as_bytes(), Vec::new());
        while !left.is_empty() {
            let n = rng.random_range(1..=left.len().min(if seed % 3 == 0 { 1 } else { 40 }));
            pieces.push(left[..n].to_vec());
            left = &left[n..];
        }
        let mut stream = EventStreamParser::new(200);
        assert_eq!(heard(&mut stream, pieces.into_iter()), Ok(body()), "seed {seed}");
        assert_eq!((stream.buffered_bytes() > 2, stream.finish()), (false, Ok(())), "seed {seed}");
    }
}

#[test]
fn faulty_answers_end_the_call_by_name() {
    let flaw =
        |bytes: &str| heard(&mut EventStreamParser::new(200), std::iter::once(bytes.into())).unwrap_err();
    assert_eq!(flaw("HTTP/1.1 503 Busy\r\n\r\n"), StreamError::UnexpectedStatus(503));
    assert!(flaw("what is this\r\n\r\n").to_string().starts_with("not HTTP: "));
    assert_eq!(flaw(&format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(200))), StreamError::TooLong);
    assert_eq!(flaw(&format!("{CHUNKED}zz\r\n")), StreamError::BadChunk);
    assert_eq!(flaw(&format!("{CHUNKED}0\r\n\r\n")), StreamError::Ended);
    assert_eq!(flaw(&format!("{HEAD}data: {}", "x".repeat(200))), StreamError::TooLong);
    assert_eq!(flaw(&format!("{HEAD}data: {}\n\n", "x".repeat(200))), StreamError::TooLong);
    let mut stream = EventStreamParser::new(200);
    assert_eq!(heard(&mut stream, std::iter::once(b"HTTP/1.1 200".to_vec())), Ok(vec![]));
    assert_eq!(stream.finish(), Err(StreamError::EndedInHead));
    // What came whole before the end of the chunks counts.
    let ended = format!("{CHUNKED}9\r\ndata: a\n\n\r\n0\r\n\r\n");
    let mut stream = EventStreamParser::new(200);
    stream.push(ended.as_bytes());
    assert_eq!(
        [stream.next_item(), stream.next_item()],
        [Ok(Some(StreamItem::Connected)), Ok(Some(event(None, "a")))]
    );
    assert_eq!(stream.next_item(), Err(StreamError::Ended));
}

#[test]
fn many_events_at_once_are_read_in_straight_time() {
    // A search of the whole text for each event made a burst's cost grow with its square.
    let time = |events: usize| {
        let text = format!("{HEAD}{}", "id: 1\ndata: {\"n\":1,\"purge\":{}}\n\n".repeat(events));
        let mut best = Duration::MAX;
        for _ in 0..5 {
            let mut stream = EventStreamParser::new(1 << 20);
            let start = std::time::Instant::now();
            assert_eq!(heard(&mut stream, std::iter::once(text.clone().into())).unwrap().len(), events + 1);
            best = best.min(start.elapsed());
        }
        best
    };
    let (few, many) = (time(1_000), time(16_000));
    assert!(many < few * 16 * 4, "{few:?} for 1,000, {many:?} for 16,000");
}

#[test]
fn each_event_is_taken_once_and_a_gap_is_asked_for_once_more() {
    let mut c = EventCursor::after_number(3);
    let fine = |n: u64| Ok::<(u64, u64), String>((n, n));
    assert_eq!(c.classify(Some(3), fine(3)), EventVerdict::Duplicate);
    assert_eq!(c.classify(Some(4), fine(4)), EventVerdict::New(4));
    assert_eq!(c.classify(Some(6), fine(6)), EventVerdict::Resubscribe(ResubscribeReason::Gap { before: 6 }));
    assert_eq!(c.classify(Some(5), fine(5)), EventVerdict::New(5));
    assert_eq!(c.classify(Some(9), fine(9)), EventVerdict::Resubscribe(ResubscribeReason::Gap { before: 9 }));
    assert_eq!(c.classify(Some(9), fine(9)), EventVerdict::New(9));
    assert_eq!(ResubscribeReason::Gap { before: 6 }.to_string(), "gap before=6");
    assert_eq!(ResubscribeReason::Unreadable { before: 10 }.to_string(), "unreadable before=10");
    let bad = || Err::<(u64, u64), _>("no".to_owned());
    assert_eq!(
        c.classify(Some(10), bad()),
        EventVerdict::Resubscribe(ResubscribeReason::Unreadable { before: 10 })
    );
    assert_eq!(c.classify(Some(10), bad()), EventVerdict::Skip { number: 10, reason: "no".into() });
    assert_eq!(
        c.classify(None, bad()),
        EventVerdict::Resubscribe(ResubscribeReason::Unreadable { before: 0 })
    );
    assert_eq!(c.classify(None, bad()), EventVerdict::Skip { number: 0, reason: "no".into() });
    assert_eq!(
        (c.last_number(), c.advance_if_next(12), c.advance_if_next(11), c.last_number()),
        (10, false, true, 11)
    );
}

#[test]
fn readers_of_a_lost_feed_spread_and_come_home_later() {
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let all: Vec<SocketAddr> = (1..=13).map(at).collect();
    let sec = Duration::from_secs;
    assert_eq!(events_request(at(1), 7).lines().last(), Some(""));
    let mut second = std::collections::BTreeMap::<SocketAddr, u32>::new();
    for n in 0..1_200 {
        let mut f = FeedSelector::new(&format!("director-{n}"), at(1), &all);
        assert_eq!(f.current(), at(1));
        f.on_stream_ended(sec(1));
        assert_eq!(f.current(), at(1));
        f.on_failed(sec(2));
        *second.entry(f.current()).or_default() += 1;
        let other = f.current();
        f.on_connected();
        // Not before its time, and to where it was if home is not there still.
        f.on_stream_ended(sec(21));
        assert_eq!(f.current(), other);
        f.on_stream_ended(sec(43));
        assert_eq!(f.current(), at(1));
        f.on_failed(sec(43));
        assert_eq!(f.current(), other);
        f.on_stream_ended(sec(62));
        assert_eq!(f.current(), other);
        f.on_stream_ended(sec(84));
        f.on_connected();
        f.on_stream_ended(sec(90));
        assert_eq!(f.current(), at(1));
        // All of them come by in turn.
        let mut met = std::collections::BTreeSet::new();
        for _ in 0..13 {
            met.insert(f.current());
            f.on_failed(sec(91));
        }
        assert_eq!(met.len(), 13);
    }
    assert!(second.len() == 12 && second.values().all(|n| (60..=140).contains(n)), "{second:?}");
    let mut one = FeedSelector::new("director-0", at(1), &[]);
    one.on_failed(sec(1));
    assert_eq!(one.current(), at(1));
}
