#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
program=../../build/review-2/case-10
[ -x "$program" ] || exit 2
exec "$program" "$(cd ../.. && pwd)" "$PWD/record.txt"
