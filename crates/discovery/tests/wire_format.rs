//! Wire format of the request for the event stream.

use sablecross_discovery::events_request;

#[test]
fn request_for_events() {
    let feed = "127.0.0.1:7070".parse().expect("an address");
    let expected = "GET /v1/events HTTP/1.1\r\nHost: 127.0.0.1:7070\r\nAccept: text/event-stream\r\n\
                    Last-Event-ID: 42\r\n\r\n";
    assert_eq!(events_request(feed, 42), expected);
}
