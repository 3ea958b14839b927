; Two offices over two upper caches. (hierarchy ...) holds for the whole, (node ...) for one node; tiers count away
; from the origin. docs/hierarchy-operators.md has all keys.
(hierarchy (version . 1) (ceiling . 150) (margin . 0.2) (hold-ms . 3000) (settle-ms . 5000) (give-up-ms . 30000))
(node (name . "origin") (tier . 0) (capacity . 200))
(node (name . "upper-a") (tier . 1) (sources "origin") (capacity . 400) (hit . 0.8))
(node (name . "upper-b") (tier . 1) (sources "origin") (capacity . 400) (hit . 0.8))
(node (name . "south") (tier . 2) (sources "upper-a" "upper-b") (capacity . 900) (demand . 500) (hit . 0.5))
(node (name . "north") (tier . 2) (sources "upper-a" "upper-b") (capacity . 900) (demand . 300) (hit . 0.5))
