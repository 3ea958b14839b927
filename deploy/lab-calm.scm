; The same load without a change.
(experiment (name . "calm") (seed . 1) (seconds . 90) (warm-up . 5) (directors . 3) (caches . 18) (uppers . 11)
  (rate . 300) (objects . 4000) (kept . 400) (ceiling . 260) (rewirings . 0) (purges . 2))
