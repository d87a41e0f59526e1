#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the program with the stand-ins of the cases 4 to 8 into target/. It needs the standard library only.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -trimpath -o ../../target/review-harness-2 ./*.go
