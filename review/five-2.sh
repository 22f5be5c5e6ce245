#!/bin/sh
# Runs a case five times with its disruption and once without: review/five-2.sh 6. The last line is the count.
cd "$(dirname "$0")/$1" || exit 2
failed=0
for run in 1 2 3 4 5; do
    ./run.sh > /dev/null 2>&1
    code=$?
    printf 'run %s: exit %s: %s\n' "$run" "$code" "$(tail -1 record.txt)"
    [ "$code" = 1 ] && failed=$((failed + 1))
done
cp record.txt /tmp/record-$1.txt
TROUBLE=0 ./run.sh > /dev/null 2>&1
printf 'without the disruption: exit %s: %s\n' "$?" "$(tail -1 record.txt)"
mv /tmp/record-$1.txt record.txt
printf 'failed %s of 5\n' "$failed"
