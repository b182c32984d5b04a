#!/bin/sh
# Builds the stand-ins that the scripts of this folder start, into target/review.
set -eu
cd "$(dirname "$0")/.."
node review/build.mjs
