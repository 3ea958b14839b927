; A hundred directors with little traffic each, no fault. `sablecross fleet-trial deploy/fleet.scm` runs it.
(fleet (name . "even") (seed . 1) (seconds . 24) (warm-up . 9) (directors . 100) (caches . 12) (parents . 5)
  (rate . 500) (objects . 20000) (kept . 600) (uneven . 5) (load . 0.6) (hits . 0.5) (most . 1.5) (least . 0.5)
  (satisfied . 0.95))
