#!/bin/sh
# Runs case N five times with its disruption and once without; prints the exit codes. Usage: review/five.sh N
cd "$(dirname "$0")/.." || exit 2
codes=""
for round in 1 2 3 4 5; do "review/$1/run.sh" >/dev/null 2>&1; codes="$codes $?"; done
TROUBLE=0 "review/$1/run.sh" >/dev/null 2>&1; calm=$?
echo "case $1: exit codes with the disruption:$codes; with TROUBLE=0: $calm"
