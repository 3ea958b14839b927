.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# One director with the sample configuration; CONFIG=FILE names another.
CONFIG ?= deploy/sample.json
run: build
	NODE_CONFIG=$(CONFIG) target/release/sablecross-director
