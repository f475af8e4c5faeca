#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the box itself: the stand-ins of the store, the servers and
# the clients are all in one program. Run it after the build of deploy/system.toml, from any directory.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_rig2
