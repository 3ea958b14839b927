; The same with ten times the purges and changes.
(scale (name . "ten") (seed . 1) (seconds . 70) (warm-up . 10) (hollow . 3800) (real . 20) (relays . 13) (voters . 5)
  (regions . 4) (nodes . 490) (zones . 64) (purges . 350.0) (changes . 2.5))
