#!/usr/bin/env bash
# Builds the stand-ins of the cases beside the project's program, which the deploy file's build line makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/_rig
