# CONFIG names the configuration that `make run` starts a router with.
CONFIG ?= deploy/sample-config.json

.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B -ntp verify

# All of the compiler's warnings, each an error.
lint:
	mvn -q -Dlint.failOnWarning=true clean test-compile

run: build
	LB_CONFIG=$(CONFIG) sh -c "$$(sed -n 's/^run = "\(.*\)"   #.*/\1/p' deploy/balancer.toml | sed 's/\\"/"/g')"

clean:
	mvn -q clean
