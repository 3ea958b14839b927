; The same changes in one jump each, without a plan: for comparison.
(experiment (name . "jump") (seed . 1) (seconds . 90) (warm-up . 10) (directors . 3) (caches . 18) (uppers . 11)
  (rate . 300) (objects . 8000) (kept . 180) (hit . 0.25) (ceiling . 200) (rewirings . 60) (plan . #f) (faults . #t) (purges . 2))
