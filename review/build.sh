#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the scripts, which are one program, into review/bin.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off GOTOOLCHAIN=local GOFLAGS='' go build -trimpath -o ../bin/harness .
