# Functions for the cases of the batch daemon. A case sources this file from its own folder, with `record` set
# to its record. Everything listens on loopback, on free ports; files are in a temporary folder.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
stand_ins=$root/build/review-2
trouble=${TROUBLE:-1}
work=$(mktemp -d "${TMPDIR:-/tmp}/mountflow-case-XXXXXX")
children=()

note() { printf '%s script: %s\n' "$(date +%s.%3N)" "$*" >>"$record"; }

# The case could not run.
cannot_run() {
  note "could not run: $*"
  exit 2
}

clean_up() {
  local pid
  for pid in "${children[@]}"; do kill "$pid" 2>/dev/null; done
  sleep 0.3
  for pid in "${children[@]}"; do kill -9 "$pid" 2>/dev/null; done
  # A task writes its process into the file of runs; it is one sleeping process by then.
  if [ -s "$work/runs" ]; then
    while read -r _ _ pid _; do
      case $(tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline") in "sleep "*) kill -9 "$pid" 2>/dev/null ;; esac
    done <"$work/runs"
  fi
  rm -rf "$work"
}
trap clean_up EXIT

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local until=$(($(date +%s%N) + $1 * 1000000000))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$(date +%s%N)" -ge "$until" ] && return 1
    sleep 0.05
  done
}

# The registry. Its readers see a change DELAY seconds later.
start_registry() {
  "$root/build/mountflow-registry-standin" --listen 127.0.0.1:0 --delay "$1" >"$work/registry.out" 2>&1 &
  children+=($!)
  wait_for 10 grep -q ready: "$work/registry.out" || cannot_run "the registry did not start"
  registry=127.0.0.1:$(sed -n 's/.*ready: //p' "$work/registry.out")
}

# start_machine NAME RACK TROUBLE OPTIONS...
start_machine() {
  local name=$1 rack=$2 kind=$3
  shift 3
  HOME=$work "$stand_ins/machine" --name "$name" --rack "$rack" --node "$root/build/mountflow-node" --list "$registry" \
    --record "$record" --started "$work/runs" --once "$work/struck" --trouble "$kind" "$@" >"$work/machine-$name.out" 2>&1 &
  children+=($!)
  wait_for 10 grep -q ready: "$work/machine-$name.out" || cannot_run "machine $name did not start"
}

# start_daemon [NAME [INDEX]]: a batch daemon, with its jobs stored in $work/jobs-NAME. A daemon that is started
# again gets the port that it had. With INDEX it is one of two daemons that share the machines.
start_daemon() {
  local name=${1:-d0} address=127.0.0.1:0 config=()
  [ -s "$work/address-$name" ] && address=$(cat "$work/address-$name")
  if [ -n "${2:-}" ]; then
    "$root/build/mountflowd" --show-defaults |
      sed "s/\"group_size\": 1/\"group_size\": 2/; s/\"self_index\": 0/\"self_index\": $2/" >"$work/config-$name"
    config=(-c "$work/config-$name")
  fi
  "$root/build/mountflowd" "${config[@]}" --name "$name" --batch "$address" --http 127.0.0.1:0 --list "$registry" \
    --storage "$work/jobs-$name" >"$work/daemon-$name.out" 2>>"$work/daemon-$name.err" &
  daemon=$!
  disown "$daemon"
  children+=("$daemon")
  echo "$daemon" >"$work/daemon.pid"
  wait_for 10 grep -q 'batch [0-9]' "$work/daemon-$name.out" || cannot_run "daemon $name did not start"
  daemon_address=127.0.0.1:$(sed -n 's/.*batch \([0-9]*\).*/\1/p' "$work/daemon-$name.out")
  http_port=$(sed -n 's/.*http \([0-9]*\).*/\1/p' "$work/daemon-$name.out")
  echo "$daemon_address" >"$work/address-$name"
  export PBS_DEFAULT=$daemon_address
  note "daemon $name listens on $daemon_address, process $daemon"
}

# Succeeds if the daemon lists as many nodes as stated.
lists_nodes() {
  local answer
  exec 3<>"/dev/tcp/127.0.0.1/$http_port" || return 1
  printf 'GET /v1/nodes HTTP/1.1\r\nHost: d0\r\nConnection: close\r\n\r\n' >&3
  answer=$(cat <&3)
  exec 3>&-
  [ "$(grep -o '"name"' <<<"$answer" | wc -l)" -eq "$1" ]
}

# The script of a task: it writes that it has started, and where, and then works for as long as stated.
write_script() {
  cat >"$work/job.sh" <<END
echo "\$(date +%s.%N) started \$\$ on \$(tr '\\0' ' ' <"/proc/\$PPID/cmdline" | sed 's/.*--name \\([a-z]*\\).*/\\1/')" >>"$work/runs"
exec sleep $1
END
}

batch() {
  local command=$1
  shift
  "$root/build/$command" "$@"
}

runs() { if [ -s "$work/runs" ]; then wc -l <"$work/runs"; else echo 0; fi; }

record_runs() {
  [ -s "$work/runs" ] && sed 's/^\([0-9.]*\) /\1 task: /' "$work/runs" >>"$record"
  sort -n -o "$record" "$record"
}
