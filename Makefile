.PHONY: build test lint run demo bench

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	cargo clippy -p sablecross-director --all-targets --locked -- -D warnings

# One director with the sample configuration; CONFIG=FILE names another.
CONFIG ?= deploy/sample.json
run: build
	NODE_CONFIG=$(CONFIG) target/release/sablecross-director

# A small installation on loopback, with a report.
demo:
	cargo run --release --locked -p sablecross-cli -- testbed run deploy/lab.scm

bench:
	cargo bench --locked -p sablecross -p sablecross-hierarchy
