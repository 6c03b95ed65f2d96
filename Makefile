# Entry points of the project; CMake does the building.
BUILD := build/release
SOURCES = $(wildcard src/*.cpp platform/*.cpp harness/*.cpp tools/*.cpp tutorial/*.cpp test/*/*.cpp)
HEADERS = $(wildcard src/*.hpp platform/*.hpp harness/*.hpp test/*/*.hpp)

.PHONY: build install-packages demo test test-built bench lint format format-check sanitize clean

install-packages:
	tools/install-packages.sh

build: install-packages
	cmake --preset release
	cmake --build --preset release

demo: build
	$(BUILD)/agateledge dev --settings examples/kerbrat.toml --load 400

test: build test-built

test-built:
	tools/run-tests.sh $(BUILD)

bench: build
	tools/run-bench.sh $(BUILD)

sanitize: install-packages
	cmake --preset sanitize
	cmake --build --preset sanitize
	tools/run-tests.sh build/sanitize

format:
	clang-format -i $(SOURCES) $(HEADERS)

format-check:
	clang-format --dry-run --Werror $(SOURCES) $(HEADERS)

lint:
	tools/run-lint.sh $(BUILD)

clean:
	rm -rf build
