; One of five parents at a third of its speed for twenty seconds: what its slice gets, and what the others do.
(fleet (name . "slow parent") (seed . 1) (seconds . 36) (warm-up . 8) (directors . 100) (caches . 12) (parents . 5)
  (rate . 500) (objects . 20000) (kept . 600) (uneven . 5) (load . 0.6) (hits . 0.5)
  (faults ((kind . slow-parents) (at . 10) (lasts . 20) (by . 3))))
