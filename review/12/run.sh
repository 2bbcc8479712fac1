#!/usr/bin/env bash
# A late start is carried out in the next life of an executor, after its task was done.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run" late-start "$(dirname "${BASH_SOURCE[0]}")/record.txt"
