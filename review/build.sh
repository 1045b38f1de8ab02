#!/bin/bash
# Builds the stand-ins of the cases, behind the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4 --target balancer_testbed
g++ -std=c++20 -O1 -Wall -Wextra -o build/review_resp_cluster review/2/cluster.cc
g++ -std=c++20 -O1 -Wall -Wextra -o build/review_resp_node review/3/node.cc
g++ -std=c++20 -O1 -Wall -Wextra -o build/review_booking_node review/1/node.cc
