#!/usr/bin/env bash
# Compiles the stand-ins of this review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
node node_modules/typescript/bin/tsc -p review/lib-2
