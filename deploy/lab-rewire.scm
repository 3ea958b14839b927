; Fifty rewirings under load with faults: versions late, lost and doubled, the driver killed, changes that follow closely.
(experiment (name . "rewire") (seed . 1) (seconds . 130) (warm-up . 5) (directors . 3) (caches . 18) (uppers . 11)
  (rate . 300) (objects . 4000) (kept . 400) (ceiling . 260) (rewirings . 60) (faults . #t) (purges . 2))
