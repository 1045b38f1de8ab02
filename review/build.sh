#!/bin/bash
# Builds the stand-ins of the cases into build/, beside the program that the build of deploy/balancer.toml has
# left there. They are small programs of one file; a C++ compiler is all that they need.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "build/$1" "review/$2"; }
compile review_booking_node 1/node.cc
compile review_resp_cluster 2/cluster.cc
compile review_resp_node 3/node.cc
