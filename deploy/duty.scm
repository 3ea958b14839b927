; Coordination of a fleet whose directors may talk to one another: `SABLECROSS_DUTY` names this file, the same at all members.
; docs/coordination-operators.md says what each key means. On the platform it is not used.
(duty (lease-ms . 1000) (round-ms . 200) (apart-ms . 50) (beat-ms . 200) (probe-ms . 1000) (patience-ms . 400) (probing . #t))
; Voters by their numbers among the directors, with the address where each listens for clients.
(voter (number . 0) (address . "127.0.0.1:10080"))
(voter (number . 1) (address . "127.0.0.1:10081"))
(voter (number . 2) (address . "127.0.0.1:10082"))
