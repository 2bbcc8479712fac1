#!/usr/bin/env bash
# A late start is carried out in the next life of an executor, after its task was done.
# TROUBLE=0 does the same without the disruption.
export TROUBLE=${TROUBLE:-1}
folder=$(dirname "${BASH_SOURCE[0]}")
exec "$folder/../standin-3/run" late-start "$folder/record.txt"
