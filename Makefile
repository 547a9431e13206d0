# CONFIG names the configuration that `make run` starts a router with.
CONFIG ?= deploy/sample-config.json

# A command as the operators have it.
deployed = sh -c "$$(sed -n 's/^$(1) = "\(.*\)"   \#.*/\1/p' deploy/balancer.toml)"

.PHONY: build test lint run clean

build:
	$(call deployed,build)

test:
	mvn -B -ntp verify

# All of the compiler's warnings, each an error.
lint:
	mvn -q -Dlint.failOnWarning=true clean test-compile

run: build
	LB_CONFIG=$(CONFIG) $(call deployed,run)

clean:
	mvn -q clean
