# Commands for developers and CI.  The build itself is described in
# CMakeLists.txt.

BUILD = build
JOBS ?= $(shell nproc)

.PHONY: all install-deps build demo demo-stop check test format lint sanitize \
  thread-check process-test process-soak measure soak explore clean

all: build

install-deps:
	bash scripts/install.sh

build: install-deps
	cmake -S . -B $(BUILD) > /dev/null
	cmake --build $(BUILD) --parallel $(JOBS)

# Run the demo of requests, then the demo of jobs, with real processes.  KEEP=1
# leaves the processes of the first demo running until demo-stop.
demo: build
	KEEP=$(KEEP) BIN=$(BUILD) bash scripts/demo.sh
	$(BUILD)/soak/process_soak --demo --directory run/jobs

demo-stop:
	bash scripts/demo.sh stop

# Run all checks of CI.
check: build format lint test sanitize thread-check process-test
	bash scripts/known_red.sh

format:
	git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror

lint: build
	git ls-files 'packages/*.c' 'platform/*.c' 'programs/*.c' 'tests/*.c' 'examples/*.c' 'bench/*.c' 'soak/*.c' \
	  | xargs -P $(JOBS) -n 4 clang-tidy --quiet -p $(BUILD) 2> /dev/null

test: build
	cd $(BUILD) && ctest --output-on-failure --parallel $(JOBS) \
	  $$(bash $(CURDIR)/scripts/known_red.sh --ctest)

# Run the tests under AddressSanitizer and UndefinedBehaviorSanitizer.
sanitize: install-deps
	cmake -S . -B $(BUILD)-asan -DDP_SANITIZE=address,undefined > /dev/null
	cmake --build $(BUILD)-asan --parallel $(JOBS)
	cd $(BUILD)-asan && UBSAN_OPTIONS=halt_on_error=1 \
	  LSAN_OPTIONS=suppressions=$(CURDIR)/tests/lsan.supp \
	  ctest --output-on-failure --parallel $(JOBS) \
	  $$(bash $(CURDIR)/scripts/known_red.sh --ctest)

# Run the tests of the ring buffer, of the event queue and of the supervised
# threads under ThreadSanitizer.
thread-check: install-deps
	cmake -S . -B $(BUILD)-tsan -DDP_SANITIZE=thread > /dev/null
	cmake --build $(BUILD)-tsan --parallel $(JOBS) --target test_ba_ring \
	  test_sv_event_queue test_sv_supervisor
	$(BUILD)-tsan/packages/base/test_ba_ring
	$(BUILD)-tsan/packages/server/test_sv_event_queue
	$(BUILD)-tsan/packages/server/test_sv_supervisor

# Run the tests with real processes on loopback.
process-test: build
	BIN=$(BUILD) bash tests/process/run.sh
	BIN=$(BUILD) bash tests/process/jobs.sh
	BIN=$(BUILD) bash tests/process/clients.sh
	$(BUILD)/soak/process_soak --stops --network 88 --directory run/stops \
	  --program $(BUILD)/programs/dogwoodpulleyd
	$(BUILD)/soak/process_soak --restarts --hosts 4 --network 87 --directory run/restarts \
	  --program $(BUILD)/programs/dogwoodpulleyd
	$(MAKE) process-soak SEED=8 RUNS=2

# Run entry hosts as real processes with random faults, two seeds at a time:
# RUNS seeds starting at SEED, and then further seeds for MINUTES:
#   make process-soak SEED=1 RUNS=50 MINUTES=5
MINUTES ?= 0
process-soak: build
	BIN=$(BUILD) SEED=$(SEED) RUNS=$(RUNS) MINUTES=$(MINUTES) bash soak/run.sh

# Run all measurements, most of them with a baseline in the same run.
measure: build
	BIN=$(BUILD) bash scripts/measure.sh

# Run the simulator with random load and faults, for RUNS seeds starting at
# SEED:
#   make soak SEED=1 RUNS=1000
SEED ?= 1
RUNS ?= 200
soak: build
	$(BUILD)/tests/sim/soak --seed $(SEED) --runs $(RUNS)

# Simulate the exchange of quota between entry hosts with each pair of faults.
# Takes an hour of processor time.
explore: build
	seq 0 5 | xargs -P 6 -I{} $(BUILD)/tests/sim/explore --pairs --part {} --parts 6

clean:
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-tsan run
