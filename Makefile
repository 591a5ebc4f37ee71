# Targets: all, check, fuzz, soak, soak-limits, soak-pipelines, soak-restores, bench,
# bench-load, demo, format, format-check, lint, clean, deps, programs, deploy.
# SAN=address,undefined or SAN=thread builds with the sanitizers into a directory
# of its own.

CC ?= gcc
CXX ?= g++
SAN ?=
comma := ,
BUILD := $(if $(SAN),build-$(subst $(comma),-,$(SAN)),build)

PACKAGES := liburcu msgpack log4c jansson libxxhash libcurl libcrypto \
	tomlplusplus
WARN := -Wall -Wextra -Werror -Wshadow -Wvla
COMMON := -D_GNU_SOURCE -I. -Ilib -Iprograms -O2 -g -fno-omit-frame-pointer -pthread \
	$(WARN) $(if $(SAN),-fsanitize=$(SAN) -Wno-format-truncation)
CFLAGS += -std=c11 -Wstrict-prototypes -Wmissing-prototypes $(COMMON)
CXXFLAGS += -std=c++17 $(COMMON)
LDFLAGS += -pthread $(if $(SAN),-fsanitize=$(SAN))
LDLIBS += -lhttp_parser -lb64 -llog4c -lmsgpackc -lcivetweb -ljansson -lxxhash -lcurl -lcrypto \
	-lurcu-memb -lurcu-common -ltomlplusplus -lstdc++ -lm

LIB_C := $(wildcard lib/*/*.c platform/*.c)
LIB_CXX := $(wildcard lib/*/*.cpp)
LIB_OBJ := $(LIB_C:%.c=$(BUILD)/%.o) $(LIB_CXX:%.cpp=$(BUILD)/%.o)
LIB := $(BUILD)/libperidot.a

PROGRAM_C := $(wildcard programs/peridot*.c)
PROGRAMS := $(PROGRAM_C:programs/%.c=$(BUILD)/%)
PROGRAM_COMMON := $(filter-out $(PROGRAM_C),$(wildcard programs/*.c))
STANDIN_C := $(wildcard tests/standins/fake-*.c) \
	$(wildcard tests/standins/tcp-*.c)
STANDINS := $(STANDIN_C:tests/standins/%.c=$(BUILD)/standins/%)
STANDIN_PARTS := $(filter-out $(STANDIN_C),$(wildcard tests/standins/*.c))
UNIT_C := $(wildcard tests/unit/test_*.c)
UNITS := $(UNIT_C:tests/unit/%.c=$(BUILD)/unit/%)
BENCH_C := $(wildcard tests/bench/bench_*.c)
BENCHES := $(BENCH_C:tests/bench/%.c=$(BUILD)/bench/%)
UNIT_PARTS := $(filter-out $(UNIT_C),$(wildcard tests/unit/*.c))

FUZZ_C := $(wildcard tests/fuzz/*.c)

SOURCES := $(wildcard lib/*/*.[ch] platform/*.[ch] programs/*.[ch] programs/*/*.[ch] \
	tests/*/*.[ch] lib/*/*.cpp)

.PHONY: all check soak soak-limits soak-pipelines soak-restores bench bench-load demo format format-check lint clean \
	deps programs deploy fuzz

all: programs $(STANDINS) $(UNITS) $(BENCHES)

programs: $(PROGRAMS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

# The sources in programs/NAME/ belong to the program peridot-NAME or peridotNAME.
program_parts = $(wildcard programs/$(patsubst peridot%,%,$(patsubst peridot-%,%,$(1)))/*.c)
define PROGRAM_RULE
$(BUILD)/$(1): $(BUILD)/programs/$(1).o \
	$(patsubst %.c,$(BUILD)/%.o,$(call program_parts,$(1))) \
	$(PROGRAM_COMMON:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach name,$(filter-out peridot-hostd peridot-routerd,$(PROGRAM_C:programs/%.c=%)),$(eval $(call PROGRAM_RULE,$(name))))

# The host process has its own list of modules and links libraries statically,
# since each shared library costs memory on a small host.
HOSTD_C := programs/peridot-hostd.c \
	$(wildcard programs/host/*.c programs/hostd/*.c) \
	$(filter-out platform/calls.c,$(wildcard platform/*.c)) \
	$(filter-out lib/request/tracer.c,$(wildcard lib/request/*.c)) \
	$(patsubst %,lib/base/%.c,buf err histogram mclock metrics \
	msgcodec plog str) \
	$(patsubst %,lib/coordination/%.c,balance breaker coldgate crashboard \
	crashboard_blocks crashnews decode floors gossip custboard custnews custshare \
	gossip_message lanes \
	limitnews loadboard notice pace pauses peersync peersync_pull policy prefixmap promptparts \
	prefixnews pullcodec ratelimit readers rendezvous retryafter retrybudget sendring \
	shortage speed speednews speedqueue unitshare warmth) \
	$(patsubst %,lib/state/%.c,catalog fleet fleet_lanes fleet_speed hostsettings \
	noticetable replica replica_era) \
	$(patsubst %,lib/transport/%.c,address frame hopfields http1 httptext loop monitor tcp \
	udp)
HOSTD_LIBS := http_parser jansson b64 msgpackc xxhash
$(BUILD)/peridot-hostd: $(HOSTD_C:%.c=$(BUILD)/%.o)
	$(CC) $(LDFLAGS) -Wl,--as-needed -o $@ $^ \
		$(foreach lib,$(HOSTD_LIBS),-l:lib$(lib).a) -llog4c -lm

ROUTERD_C := programs/peridot-routerd.c \
	$(wildcard programs/host/*.c programs/routerd/*.c)
$(BUILD)/peridot-routerd: $(ROUTERD_C:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# The target that deploy/system.toml builds: only the host process, in target/.
deploy:
	$(MAKE) BUILD=target target/peridot-hostd

$(BUILD)/peridot-load: LDLIBS += -lgsl -lgslcblas

$(BUILD)/standins/%: $(BUILD)/tests/standins/%.o \
	$(STANDIN_PARTS:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/unit/%: $(BUILD)/tests/unit/%.o \
	$(UNIT_PARTS:%.c=$(BUILD)/%.o) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(LDLIBS)

$(BUILD)/bench/%: $(BUILD)/tests/bench/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

bench: $(BENCHES)
	@for bench in $(BENCHES); do $$bench || exit 1; done

bench-load: all
	scripts/bench.sh $(BUILD)

deps:
	scripts/install-deps.sh

check: deps
	$(MAKE) all
	scripts/run-tests.sh $(BUILD)

$(BUILD)/fuzz: $(FUZZ_C:%.c=$(BUILD)/%.o) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# Runs the parsers on mutated inputs under the address and undefined behaviour
# sanitizers, and under that for numbers that don't fit an integer.
FUZZ_SAN := address,undefined,float-cast-overflow
FUZZ_BUILD := build-$(subst $(comma),-,$(FUZZ_SAN))
FUZZ_SEED ?= 1
FUZZ_ROUNDS ?= 3000
fuzz: deps
	$(MAKE) SAN=$(FUZZ_SAN) $(FUZZ_BUILD)/fuzz
	UBSAN_OPTIONS=halt_on_error=1 \
	$(FUZZ_BUILD)/fuzz tests/fuzz/corpus $(FUZZ_SEED) \
		$(FUZZ_ROUNDS)

# Runs random faults. Use the seed that a breach prints to repeat its faults.
SEED ?= 1
DURATION ?= 60
HOSTS ?= 3
soak: deps
	$(MAKE) $(BUILD)/peridot-hostd
	python3 tests/soak/hosts.py $(BUILD) $(SEED) $(DURATION) $(HOSTS)

# The same with the rate limits that endpoints state.
soak-limits: deps
	$(MAKE) $(BUILD)/peridot-hostd
	python3 tests/soak/limits.py $(BUILD) $(SEED) $(DURATION)

# The same with a store that is restored from older copies.
soak-restores: deps
	$(MAKE) $(BUILD)/peridot-hostd
	python3 tests/soak/restores.py $(BUILD) $(SEED) $(DURATION)

# Random pipelines of requests to one host, against a model of the answers.
soak-pipelines: deps
	$(MAKE) $(BUILD)/peridot-hostd
	tests/session/test_soak_pipelines.sh $(BUILD) $(SEED) $(DURATION)

demo: deps
	$(MAKE) all
	scripts/demo.sh $(BUILD)

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

LINT_C := $(filter %.c,$(SOURCES))
lint: $(LINT_C:%=lint-%)
.PHONY: $(LINT_C:%=lint-%)
$(LINT_C:%=lint-%): lint-%:
	@clang-tidy --quiet $* -- $(filter-out -fno-omit-frame-pointer,$(CFLAGS)) \
		2>/dev/null

clean:
	rm -rf build build-*

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
