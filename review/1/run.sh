#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays the case, and writes what was sent, answered and run to record.txt in this folder. Run the build of the deploy file
# and review/build.sh before. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x review/bin/harness && test -x target/cairnwick || exit 2
exec review/bin/harness surplus-rejection review/1/record.txt
