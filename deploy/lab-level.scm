; The same with ways of one length, so that latencies compare with those of lab-calm.scm.
(experiment (name . "level") (seed . 1) (seconds . 180) (warm-up . 10) (directors . 3) (caches . 18) (uppers . 11)
  (rate . 300) (objects . 8000) (kept . 180) (hit . 0.25) (ceiling . 200) (rewirings . 60) (chains . #f) (faults . #t) (purges . 2))
