; A small installation on loopback: directors, stand-in nodes, load. `sablecross lab run deploy/lab.scm` runs it.
(experiment (name . "small") (seed . 1) (seconds . 12) (warm-up . 3) (directors . 2) (caches . 6) (uppers . 4)
  (rate . 200) (objects . 3000) (kept . 400) (ceiling . 200) (rewirings . 2) (purges . 1))
