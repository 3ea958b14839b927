//! Tests of the client side of the feed: parsing of arbitrarily split bytes, the event cursor, and the feed
//! selection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use sablecross_discovery::{
    CallState, EventCursor, EventStreamParser, EventVerdict, FeedSelector, ResubscribeReason, StreamError,
    StreamItem, WaitingCall, events_request,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n";
const BODY: &str = ": tick\n\nid: 1\ndata: {\"n\":1}\n\n\n\nid:2\r\ndata: a\r\ndata: b\r\n\r\nevent: x\nid: 3\n\nid: x\ndata: c\n\n:\n\n";

fn event(id: Option<u64>, data: &str) -> StreamItem {
    StreamItem::Event { id, data: data.into() }
}

fn body_items() -> Vec<StreamItem> {
    vec![
        StreamItem::Connected,
        StreamItem::Comment("tick".into()),
        event(Some(1), "{\"n\":1}"),
        event(Some(2), "a\nb"),
        event(None, "c"),
        StreamItem::Comment(String::new()),
    ]
}

fn parse_pieces(
    stream: &mut EventStreamParser,
    pieces: impl Iterator<Item = Vec<u8>>,
) -> Result<Vec<StreamItem>, StreamError> {
    let mut all = Vec::new();
    for piece in pieces {
        stream.push(&piece);
        while let Some(item) = stream.next_item()? {
            all.push(item);
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
fn parses_the_same_items_from_any_split_of_the_bytes() {
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
        assert_eq!(parse_pieces(&mut stream, pieces.into_iter()), Ok(body_items()), "seed {seed}");
        assert_eq!((stream.buffered_bytes() > 2, stream.finish()), (false, Ok(())), "seed {seed}");
    }
}

/// The body with line ends of all kinds that server-sent events allow. A CR is followed by no LF that ends another line.
fn with_drawn_line_ends(body: &str, rng: &mut Pcg32) -> String {
    let mut out = String::new();
    for line in body.lines() {
        out += line;
        out += match rng.random_range(0..3) {
            0 => "\r",
            1 => "\r\n",
            _ if out.ends_with('\r') => "\r",
            _ => "\n",
        };
    }
    out
}

/// Guards against events that are never heard, such as a drain, because their lines end in a lone CR or in mixed ways.
#[test]
fn lines_may_end_in_cr_lf_or_both() {
    for seed in 0..500 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let body = if seed == 0 {
            BODY.replace("\r\n", "\n").replace('\n', "\r")
        } else {
            with_drawn_line_ends(BODY, &mut rng)
        };
        let whole = if seed % 2 == 0 { HEAD.to_owned() + &body } else { chunked(&body, &mut rng) };
        let piece = rng.random_range(1..=40);
        let mut stream = EventStreamParser::new(200);
        let items = parse_pieces(&mut stream, whole.as_bytes().chunks(piece).map(<[u8]>::to_vec));
        assert_eq!(items, Ok(body_items()), "seed {seed}: {body:?}");
    }
}

#[test]
fn each_malformed_response_has_its_own_error() {
    let error_of = |bytes: &str| {
        parse_pieces(&mut EventStreamParser::new(200), std::iter::once(bytes.into())).unwrap_err()
    };
    assert_eq!(error_of("HTTP/1.1 503 Busy\r\n\r\n"), StreamError::UnexpectedStatus(503));
    assert!(error_of("what is this\r\n\r\n").to_string().starts_with("not HTTP: "));
    assert_eq!(error_of(&format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(200))), StreamError::TooLong);
    assert_eq!(error_of(&format!("{CHUNKED}zz\r\n")), StreamError::InvalidChunkSize);
    assert_eq!(error_of(&format!("{CHUNKED}0\r\n\r\n")), StreamError::Ended);
    assert_eq!(error_of(&format!("{HEAD}data: {}", "x".repeat(200))), StreamError::TooLong);
    assert_eq!(error_of(&format!("{HEAD}data: {}\n\n", "x".repeat(200))), StreamError::TooLong);
    let mut stream = EventStreamParser::new(200);
    assert_eq!(parse_pieces(&mut stream, std::iter::once(b"HTTP/1.1 200".to_vec())), Ok(vec![]));
    assert_eq!(stream.finish(), Err(StreamError::EndedInHead));
    // Events that were complete before the last chunk are returned before the error.
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
fn parsing_time_grows_linearly_with_the_number_of_events() {
    // Guards against quadratic cost of a burst, which arose when each event led to a search of the whole text.
    let best_parse_time = |events: usize| {
        let text = format!("{HEAD}{}", "id: 1\ndata: {\"n\":1,\"purge\":{}}\n\n".repeat(events));
        let mut best = Duration::MAX;
        for _ in 0..5 {
            let mut stream = EventStreamParser::new(1 << 20);
            let start = std::time::Instant::now();
            assert_eq!(
                parse_pieces(&mut stream, std::iter::once(text.clone().into())).unwrap().len(),
                events + 1
            );
            best = best.min(start.elapsed());
        }
        best
    };
    let (few, many) = (best_parse_time(1_000), best_parse_time(16_000));
    assert!(many < few * 16 * 4, "{few:?} for 1,000, {many:?} for 16,000");
}

#[test]
fn applies_each_event_once_and_resubscribes_once_for_a_gap() {
    let mut cursor = EventCursor::after_number(3);
    let parsed = |n: u64| Ok::<(u64, u64), String>((n, n));
    assert_eq!(cursor.classify(Some(3), parsed(3)), EventVerdict::Duplicate);
    assert_eq!(cursor.classify(Some(4), parsed(4)), EventVerdict::New(4));
    assert_eq!(
        cursor.classify(Some(6), parsed(6)),
        EventVerdict::Resubscribe(ResubscribeReason::Gap { before: 6 })
    );
    assert_eq!(cursor.classify(Some(5), parsed(5)), EventVerdict::New(5));
    assert_eq!(
        cursor.classify(Some(9), parsed(9)),
        EventVerdict::Resubscribe(ResubscribeReason::Gap { before: 9 })
    );
    assert_eq!(cursor.classify(Some(9), parsed(9)), EventVerdict::New(9));
    assert_eq!(ResubscribeReason::Gap { before: 6 }.to_string(), "gap before=6");
    assert_eq!(ResubscribeReason::Unreadable { before: 10 }.to_string(), "unreadable before=10");
    let unreadable = || Err::<(u64, u64), _>("no".to_owned());
    assert_eq!(
        cursor.classify(Some(10), unreadable()),
        EventVerdict::Resubscribe(ResubscribeReason::Unreadable { before: 10 })
    );
    assert_eq!(
        cursor.classify(Some(10), unreadable()),
        EventVerdict::Skip { number: 10, reason: "no".into() }
    );
    assert_eq!(
        cursor.classify(None, unreadable()),
        EventVerdict::Resubscribe(ResubscribeReason::Unreadable { before: 0 })
    );
    assert_eq!(cursor.classify(None, unreadable()), EventVerdict::Skip { number: 0, reason: "no".into() });
    assert_eq!(
        (cursor.last_number(), cursor.advance_if_next(12), cursor.advance_if_next(11), cursor.last_number()),
        (10, false, true, 11)
    );
}

#[test]
fn subscribers_of_a_failed_feed_spread_and_return_to_it_later() {
    let feed = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let all: Vec<SocketAddr> = (1..=13).map(feed).collect();
    let sec = Duration::from_secs;
    assert_eq!(events_request(feed(1), 7).lines().last(), Some(""));
    let mut first_fallbacks = std::collections::BTreeMap::<SocketAddr, u32>::new();
    for n in 0..1_200 {
        let mut selector = FeedSelector::new(&format!("director-{n}"), feed(1), &all);
        assert_eq!(selector.current(), feed(1));
        selector.on_stream_ended(sec(1));
        assert_eq!(selector.current(), feed(1));
        selector.on_failed(sec(2));
        *first_fallbacks.entry(selector.current()).or_default() += 1;
        let other = selector.current();
        selector.on_connected();
        // The home feed is not tried before it is due. If it fails again, the selector goes back to the other feed.
        selector.on_stream_ended(sec(21));
        assert_eq!(selector.current(), other);
        selector.on_stream_ended(sec(43));
        assert_eq!(selector.current(), feed(1));
        selector.on_failed(sec(43));
        assert_eq!(selector.current(), other);
        selector.on_stream_ended(sec(62));
        assert_eq!(selector.current(), other);
        selector.on_stream_ended(sec(84));
        selector.on_connected();
        selector.on_stream_ended(sec(90));
        assert_eq!(selector.current(), feed(1));
        // Repeated failures lead through all feeds.
        let mut called_feeds = std::collections::BTreeSet::new();
        for _ in 0..13 {
            called_feeds.insert(selector.current());
            selector.on_failed(sec(91));
        }
        assert_eq!(called_feeds.len(), 13);
    }
    assert!(
        first_fallbacks.len() == 12 && first_fallbacks.values().all(|n| (60..=140).contains(n)),
        "{first_fallbacks:?}"
    );
    let mut single = FeedSelector::new("director-0", feed(1), &[]);
    single.on_failed(sec(1));
    assert_eq!(single.current(), feed(1));
}

/// Guards against calling a feed that was not followed: an answer to an earlier call selects its feed again.
#[test]
fn a_late_answer_selects_its_feed() {
    let feeds: Vec<SocketAddr> = (1..=3).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let mut selector = FeedSelector::new("a", feeds[0], &feeds[1..]);
    selector.on_failed(Duration::ZERO);
    assert_ne!(selector.current(), feeds[0]);
    selector.on_late_answer(feeds[0]);
    selector.on_connected();
    assert_eq!(selector.current(), feeds[0]);
    selector.on_late_answer(([127, 0, 0, 1], 9).into());
    assert_eq!(selector.current(), feeds[0], "not one of its feeds");
}

/// Guards against a feed that is never heard as its calls wait for long, and against calls that are kept for good: the older
/// call keeps its place for a time that doubles up to 64 s, until one is accepted.
#[test]
fn an_older_call_gives_way_after_a_time_that_doubles() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let shortly = Duration::from_millis(1);
    let mut waiting = WaitingCall::new(8 * second);
    let kept = |waiting: &mut WaitingCall<u64>| {
        let mut kept = None;
        assert_eq!(
            waiting.take_answered(|call| {
                kept = Some(*call);
                CallState::Waiting
            }),
            None
        );
        kept
    };
    assert_eq!(kept(&mut waiting), None);
    let mut began_at = start;
    waiting.set_aside(0, began_at, start);
    for (limit, number) in [8, 16, 32, 64, 64].into_iter().zip(1..) {
        let over = began_at + limit * second;
        waiting.set_aside(100, over, over - shortly);
        assert_eq!(kept(&mut waiting), Some(number - 1), "before {limit} s");
        waiting.set_aside(number, over, over);
        assert_eq!(kept(&mut waiting), Some(number), "after {limit} s");
        began_at = over;
    }
    waiting.reset();
    assert_eq!(kept(&mut waiting), None);
    waiting.set_aside(6, began_at, began_at);
    waiting.set_aside(7, began_at, began_at + 8 * second);
    assert_eq!(kept(&mut waiting), Some(7), "the patience is the first one again");
}

#[test]
fn a_waiting_call_is_taken_once_when_it_is_answered_and_dropped_when_it_is_lost() {
    let now = Instant::now();
    let mut waiting = WaitingCall::new(Duration::from_secs(8));
    waiting.set_aside('a', now, now);
    assert_eq!(waiting.take_answered(|_| CallState::Answered), Some('a'));
    assert_eq!(waiting.take_answered(|_| CallState::Answered), None);
    waiting.set_aside('b', now, now);
    assert_eq!(waiting.take_answered(|_| CallState::Lost), None);
    assert_eq!(waiting.take_answered(|_| CallState::Answered), None);
}
