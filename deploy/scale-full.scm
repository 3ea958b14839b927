; Control at full size: 3,800 hollow directors and 20 real ones, 13 relays, five of which vote.
; `sablecross scale deploy/scale-full.scm` runs it; --star: the same with one source and no relays.
(scale (name . "full") (seed . 1) (seconds . 130) (warm-up . 10) (hollow . 3800) (real . 20) (relays . 13) (voters . 5)
  (regions . 4) (nodes . 490) (zones . 64) (purges . 35.0) (changes . 0.25))
