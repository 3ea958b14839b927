; Fifty rewirings under load with faults: versions late, lost and doubled, the driver killed, changes that follow closely.
(experiment (name . "rewire") (seed . 1) (seconds . 180) (warm-up . 10) (directors . 3) (caches . 18) (uppers . 11)
  (rate . 300) (objects . 8000) (kept . 180) (hit . 0.25) (ceiling . 200) (rewirings . 60) (faults . #t) (purges . 2))
