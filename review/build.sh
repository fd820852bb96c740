#!/bin/sh
# The stand-ins need no build: they are Python 3.11 with its standard library. This builds the project's own programs.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked
