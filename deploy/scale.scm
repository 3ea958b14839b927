; Control at a tenth of its full size, no fault. `sablecross scale deploy/scale.scm` runs it; --star: the same with no relays.
(scale (name . "tenth") (seed . 1) (seconds . 30) (hollow . 400) (real . 10) (relays . 5) (voters . 3) (regions . 3)
  (nodes . 490) (zones . 64) (purges . 35.0) (changes . 0.25))
