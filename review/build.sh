#!/bin/bash
# Builds the stand-ins of the cases, behind the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4 --target balancer_testbed
