; Four hundred hollow directors under every fault, 480 restarts all along; the region is cut off for longer than purges bind
; here (1 s to clear, held-ms, 2 s of slack). `sablecross scale deploy/scale-faults.scm --seed N` runs it.
(scale (name . "faults") (seed . 1) (seconds . 100) (hollow . 400) (real . 5) (relays . 13) (voters . 5) (regions . 4)
  (nodes . 490) (zones . 64) (purges . 35.0) (changes . 0.25) (held-ms . 4000)
  (faults
    ((kind . restart-directors) (at . 5) (lasts . 90) (count . 480))
    ((kind . kill-relay) (at . 8) (lasts . 4))
    ((kind . stop-relay) (at . 17) (lasts . 5))
    ((kind . cut-to) (at . 27) (lasts . 5))
    ((kind . kill-owner) (at . 37) (lasts . 4))
    ((kind . cut-region) (at . 47) (lasts . 16))
    ((kind . stop-owner) (at . 72) (lasts . 5))
    ((kind . slow-directors) (at . 82) (lasts . 4) (of . 0.05))
    ((kind . kill-directors) (at . 88) (lasts . 2) (of . 0.3))
    ((kind . burst) (at . 95) (lasts . 0) (count . 1000))))
