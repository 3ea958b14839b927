; A relay of a tier: `sablecross relay run relay.scm`. Each relay has a file of its own, which differs in `number` (and its readers) alone.
; docs/relay-operators.md says what each figure does.
(relay (number . 0) (batch-ms . 100) (batch-bytes . 16384) (ack-ms . 2000) (missed-ms . 10000) (forgotten-ms . 3600000)
       (stuck-ms . 20000) (cleared-ms . 6000) (held-ms . 120000) (slack-ms . 10000) (log-bytes . 67108864) (event-bytes . 1048576)
       (lease-ms . 1000) (round-ms . 200) (apart-ms . 50) (anew-ms . 10000) (stale-ms . 3000) (connections . 4000))
; All relays of the tier; three or five of them vote, one of these takes events in. The others follow one of the voters.
(member (number . 0) (address . "127.0.0.1:7070") (votes . #t))
(member (number . 1) (address . "127.0.0.1:7071") (votes . #t))
(member (number . 2) (address . "127.0.0.1:7072") (votes . #t))
(member (number . 3) (address . "127.0.0.1:7073"))
; A plain relay may follow a control feed outside instead; then no member votes:
; (upstream (address . "127.0.0.1:7099"))
; Further listening addresses, each of one reader, which is known by this name. Others are known by their IP address.
(reader (name . "n5") (address . "127.0.0.1:7105"))
