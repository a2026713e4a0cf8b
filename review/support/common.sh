# Sourced by the cases' run.sh, which sets `here` to its folder and `record` to the file that it writes. Each
# starts programs in the background and ends them at its exit.
set -euo pipefail
root=$(cd "$here/../.." && pwd)
trouble=${TROUBLE:-1}
: >"$record"
work=$(mktemp -d)
started=()

broken=  # set once the rule was seen to be broken

finish() {
  local pid status=$?
  # Scripts of jobs write the id of their process group to $work/groups.
  if [ -s "$work/groups" ]; then
    while read -r pid; do kill -KILL -- "-$pid" 2>/dev/null || true; done <"$work/groups"
  fi
  for pid in "${started[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
  # A failure of the script itself is no verdict.
  if [ "$status" != 0 ] && { [ "$status" != 1 ] || [ -z "$broken" ]; }; then status=2; fi
  exit "$status"
}
trap finish EXIT

note() { echo "$(date +%s.%3N) $*" >>"$record"; }
cannot_run() {
  note "could not run: $*"
  exit 2
}
# start NAME COMMAND...: runs it in the background; its output goes to $work/NAME.out, its id to $last.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  last=$!
  started+=("$last")
}
# await SECONDS COMMAND...: repeats the command until it succeeds.
await() {
  local tries=$(($1 * 20)) i
  shift
  for ((i = 0; i < tries; ++i)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  return 1
}
# port NAME WORD: the number after WORD in the output of a program that was started.
port() { sed -n "s/.*$2 \([0-9:.]*:\)\{0,1\}\([0-9][0-9]*\).*/\2/p" "$work/$1.out" | head -n 1; }
has_port() { [ -n "$(port "$1" "$2")" ]; }

for program in mountflowd mountflow-node mountflow-registry-standin qsub qstat; do
  [ -x "$root/build/$program" ] || {
    cannot_run "no build/$program: the deploy file's build and review/build.sh come first"
  }
done
