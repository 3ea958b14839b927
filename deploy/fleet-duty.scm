; Coordination in a fleet: five voters among a hundred directors, faults of the assigner and of others, each drawn by the seed.
; docs/coordination-operators.md
(fleet (name . "duty") (seed . 1) (seconds . 70) (warm-up . 6) (directors . 100) (caches . 12) (parents . 5)
  (rate . 300) (objects . 20000) (kept . 600) (load . 0.5) (satisfied . 0.6)
  (duties ((voters . 5) (lease-ms . 1000) (beat-ms . 400) (probe-ms . 500) (rounds . 12) (round-s . 5))))
