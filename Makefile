# `make demo` and `make test` need nothing but this checkout and Debian 12.
.PHONY: setup build demo test lint format asan tsan bench fuzz

setup:
	scripts/install_dependencies.sh

build: setup
	cmake --preset release >/dev/null
	cmake --build --preset release

demo: build
	build/release/bin/lycheewell_demo

test: build
	ctest --test-dir build/release --output-on-failure --no-tests=error --parallel $$(nproc)

lint: setup
	scripts/lint.sh

format: setup
	scripts/format.sh --write

# The core, settings and shared tables under AddressSanitizer and UBSan.
asan: setup
	cmake --preset asan >/dev/null
	cmake --build --preset asan --target core_tests daemon_tests
	ctest --test-dir build/asan --output-on-failure --no-tests=error -R '^(core|daemon)$$'

# The worker pool's shared tables and waits under ThreadSanitizer.
tsan: setup
	cmake --preset tsan >/dev/null
	cmake --build --preset tsan --target concurrency_tests
	build/tsan/bin/concurrency_tests

bench: build
	scripts/run_benchmarks.sh

fuzz: setup
	scripts/run_fuzzers.sh
