#!/usr/bin/env bash
# A task that failed once is never started again while other work holds the executors it hasn't failed on.
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/run" once-failed "$(dirname "${BASH_SOURCE[0]}")/record.txt"
