//! Clients that write their messages slowly. The real director on sockets.

mod help;

use std::collections::BTreeSet;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use help::{Client, Harness, LONG_TIMEOUT, Response, request_bytes, request_with_body, with_more_caches};
use socket2::{Domain, Socket, Type};

/// The time within which a client must go on with a message, and the time between two checks of that.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The body of the largest response.
static LARGE_BODY: [u8; 240_000] = [b'a'; 240_000];

fn start() -> Harness {
    Harness::with_config(|config| with_more_caches(&config))
}

/// Writes pieces in regular intervals, for 10 s at most. Returns whether all of them were written.
fn write_slowly(client: &mut Client, bytes: &[u8], piece: usize, interval: Duration) -> bool {
    let pieces_in_10_s = (Duration::from_secs(10).as_millis() / interval.as_millis()) as usize;
    let mut pieces = bytes.chunks(piece);
    let are_written = pieces.by_ref().take(pieces_in_10_s).all(|piece| {
        thread::sleep(interval);
        client.0.write_all(piece).is_ok()
    });
    are_written && pieces.next().is_none()
}

/// Guards against the end of a connection with an open call because its next message is not complete in time. Once nothing
/// is owed, the connection is closed.
#[test]
fn a_message_that_stops_ends_no_open_call() {
    let harness = start();
    let mut client = harness.client();
    client.send_request(1, 0x77, 6_000);
    let open = harness.cache.expect_pull();
    client.write(&request_bytes(2, 0x78, 6_000, &[])[..20]);
    thread::sleep(MESSAGE_TIMEOUT + 2 * CHECK_INTERVAL);
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    client.assert_success(1, b"owed");
    let answered_at = Instant::now();
    client.assert_closed();
    assert!(answered_at.elapsed() < MESSAGE_TIMEOUT, "{:?}", answered_at.elapsed());
    harness.wait_for_log("closed: a message was not complete in time");
}

/// Guards against losing a message that is written slowly but without a pause, here for 3 s, behind other messages.
#[test]
fn a_message_that_goes_on_is_served() {
    let harness = start();
    let mut client = harness.client();
    assert!(client.is_healthy());
    let message = request_with_body(1, 0x77, 4_000, &[b'q'; 120_000]);
    assert!(write_slowly(&mut client, &message, 4_000, Duration::from_millis(100)));
    harness.cache.expect_pull().answer("ACK", "how=HIT,entity=t1,issued=1", b"served");
    client.assert_success(1, b"served");
}

/// Guards against clients that keep a message incomplete: one that sends nothing more, or hardly anything, and one that has
/// never sent a complete message, whatever it sends.
#[test]
fn a_message_that_does_not_go_on_ends_its_connection() {
    let harness = start();
    let message = request_with_body(1, 0x77, 4_000, &[b'q'; 120_000]);
    let message = &message;
    let play = move |mut client: Client, is_known: bool, first: usize, piece: usize| {
        assert!(!is_known || client.is_healthy());
        let start = Instant::now();
        client.write(&message[..first]);
        let rest = if piece == 0 { &[] } else { &message[first..] };
        write_slowly(&mut client, rest, piece.max(1), Duration::from_millis(100));
        client.assert_closed();
        let allowed = MESSAGE_TIMEOUT..Duration::from_secs(3);
        assert!(allowed.contains(&start.elapsed()), "{:?} {is_known} {piece}", start.elapsed());
    };
    thread::scope(|scope| {
        for (is_known, first, piece) in [(true, 20, 0), (true, 20, 1), (false, 4_000, 4_000)] {
            let client = harness.client();
            scope.spawn(move || play(client, is_known, first, piece));
        }
    });
}

/// The number of large responses of a client that reads none of them. Together they are more than its connection takes.
const UNREAD_RESPONSES: u8 = 14;

/// A client that does not read its responses, for which it would wait 1 s.
fn client_with_unread_responses(harness: &Harness) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("created");
    socket.set_recv_buffer_size(4 << 10).expect("set");
    socket.connect(&harness.address.into()).expect("connected");
    let mut client = Client(socket.into());
    client.0.set_read_timeout(Some(LONG_TIMEOUT)).expect("set");
    for call in 1..=UNREAD_RESPONSES {
        client.send_request(call, call.into(), 1_000);
        harness.cache.pull_of(call.into()).answer("ACK", "how=HIT,entity=t1,issued=1", &LARGE_BODY);
    }
    client
}

/// Guards against the end of a connection with an open call because the client is slow to read an earlier response, which is
/// not written completely 40 ms after its deadline.
#[test]
fn a_response_that_is_read_late_ends_no_open_call() {
    let harness = start();
    let mut client = client_with_unread_responses(&harness);
    client.send_request(100, 0x78, 4_000);
    let open = harness.cache.pull_of(0x78);
    thread::sleep(Duration::from_millis(1_100));
    let mut next_answered_call = || {
        let (call, response) = client.read_response();
        assert!(response == Response::Success(LARGE_BODY.to_vec(), vec![]), "call {call}");
        call
    };
    let answered: BTreeSet<u8> = (1..=UNREAD_RESPONSES).map(|_| next_answered_call()).collect();
    assert_eq!(answered, (1..=UNREAD_RESPONSES).collect());
    open.answer("ACK", "how=HIT,entity=t1,issued=1", b"owed");
    client.assert_success(100, b"owed");
}

/// Guards against memory that a client which reads nothing could hold, although a call is open on its connection: a
/// response has 0.4 s after its deadline.
#[test]
fn a_response_that_is_not_read_ends_its_connection() {
    let harness = start();
    let mut client = client_with_unread_responses(&harness);
    let start = Instant::now();
    client.send_request(100, 0x78, 4_000);
    harness.wait_for_log("closed: a response could not be written in time");
    assert!(start.elapsed() < Duration::from_millis(1_400) + 2 * CHECK_INTERVAL, "{:?}", start.elapsed());
}

/// Guards against a stop that is held up by a client that goes on writing a message.
#[test]
fn a_message_that_goes_on_does_not_hold_up_a_stop() {
    let mut harness = start();
    let mut client = harness.client();
    assert!(client.is_healthy());
    let message = request_with_body(1, 0x77, 4_000, &[b'q'; 240_000]);
    client.write(&message[..4_000]);
    harness.signal("TERM");
    let stopping_at = Instant::now();
    thread::spawn(move || write_slowly(&mut client, &message[4_000..], 2_000, Duration::from_millis(100)));
    while harness.child.try_wait().expect("waited").is_none() {
        assert!(stopping_at.elapsed() < Duration::from_secs(3), "{:?}", stopping_at.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
}
