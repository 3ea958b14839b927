; The same with faults: a cache stopped, a link cut one way, directors stopped and killed, caches begun anew.
(fleet (name . "faults") (seed . 1) (seconds . 50) (warm-up . 5) (directors . 100) (caches . 12) (parents . 5)
  (rate . 500) (objects . 20000) (kept . 600) (uneven . 5) (load . 0.6) (hits . 0.5) (speeds . 0.2) (late-lists . 2)
  (satisfied . 0.8)
  (faults
    ((kind . stop-caches) (at . 8) (lasts . 3))
    ((kind . cut-to) (at . 15) (lasts . 4) (of . 0.34))
    ((kind . cut-from) (at . 22) (lasts . 3) (of . 0.34))
    ((kind . stop-directors) (at . 28) (lasts . 3) (of . 0.3))
    ((kind . kill-directors) (at . 33) (lasts . 0.5) (of . 0.7))
    ((kind . reset) (at . 38) (lasts . 0.1) (of . 0.5))
    ((kind . crash-caches) (at . 40) (lasts . 3) (of . 0.34))))
