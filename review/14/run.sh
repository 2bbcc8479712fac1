#!/usr/bin/env bash
# A task that failed once is never started again while other work holds the executors it hasn't failed on.
# TROUBLE=0 does the same without the disruption.
export TROUBLE=${TROUBLE:-1}
folder=$(dirname "${BASH_SOURCE[0]}")
exec "$folder/../standin-3/run" once-failed "$folder/record.txt"
