#!/usr/bin/env bash
# A task never leaves the full rack of its data on a service without accelerators.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run" affinity "$(dirname "${BASH_SOURCE[0]}")/record.txt"
