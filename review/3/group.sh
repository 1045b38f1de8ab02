# A small group for the case: two members that can hold the address "history" (n0 and n1), a process that only
# votes (v0), and a RESP cluster of three nodes behind them, each a process (node.cc). Each member stands for a
# machine of its own. The address is carried by commands: `claim` and `release` of the operator's file run
# claim.sh, which keeps one file for each machine on which the address is claimed.
#
# Before: `case_dir` is set to the folder of the case, `nodes` to the number of nodes, `claim_takes` and
# `release_takes` to the seconds that the commands take, and `pool_classes` to lines for the operator's file.

root=$(cd "$case_dir/../.." && pwd)
balancer=$root/build/balancer
node=$root/build/review_resp_node
record=$case_dir/record.txt
work=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
declare -A pid_of
: >"$record"

now_ms() { date +%s%3N; }
note() { printf '%s %s\n' "$(now_ms)" "$*" >>"$record"; }

cleanup() {
  local p
  exec 2>/dev/null
  for p in "${pid_of[@]}"; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' HUP INT TERM

cannot_run() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}

# Prints a port below the range of ephemeral ports that no TCP or UDP socket uses and that was not printed before.
declare -A ports_given
free_port() {
  local candidate hex
  for _ in $(seq 200); do
    candidate=$((20000 + RANDOM % 12000))
    hex=$(printf ':%04X ' "$candidate")
    [ -n "${ports_given[$candidate]:-}" ] && continue
    grep -qi -- "$hex" /proc/net/tcp /proc/net/udp && continue
    ports_given[$candidate]=1
    printf -v "$1" '%s' "$candidate"
    return
  done
  cannot_run "no free port"
}

# write_member NAME LEASE_MS: the operator's file of a member.
write_member() {
  local name=$1 lease=$2
  mkdir -p "$work/$name.folder"
  cat >"$work/$name.toml" <<TOML
[process]
name = "$name"

[group]
listen = "127.0.0.1:${udp[$name]}"
seeds = [$(for m in n0 n1 v0; do printf '"127.0.0.1:%s", ' "${udp[$m]}"; done)]
networks = ["127.0.0.0/8"]
key_file = "$work/group.key"
folder = "$work/$name.folder"
voters = ["n0", "n1", "v0"]
lease_ms = $lease

[[address]]
name = "history"
claim = ["$work/claim.sh", "claim", "$name"]
release = ["$work/claim.sh", "release", "$name"]

[[pool]]
name = "rate-history"
seeds = ["$seed"]
$pool_classes

[[listener]]
name = "resp"
address = "127.0.0.1:${tcp[$name]}"
pool = "rate-history"
service = "history"
TOML
}

start_member() { # NAME
  local name=$1
  (cd "$root" && exec "$balancer" --operator "$work/$name.toml") >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  note "start: $name, process $!"
}

start_voter() {
  (cd "$root" && exec "$balancer" voter --operator "$work/v0.toml") >>"$work/v0.log" 2>&1 &
  pid_of[v0]=$!
  note "start: v0 (votes only), process $!"
}

# state_of NAME: what the running member says of the address ("holder", "idle", ...); empty: no answer.
state_of() {
  "$balancer" address --operator "$work/$1.toml" --json 2>/dev/null |
    sed -n 's/.*"addresses":\[{[^]]*"state":"\([^"]*\)".*/\1/p'
}

is_claimed() { [ -e "$work/claimed.$1" ]; }

# wait_until SECONDS COMMAND...: until the command succeeds.
wait_until() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt $end ] || return 1
    sleep 0.02
  done
}

has_holder() {
  for holder in n0 n1; do
    [ "$(state_of $holder)" = holder ] && is_claimed $holder && return 0
  done
  return 1
}

# ask NAME: one read through the member's listener; prints the answer's first line.
ask() {
  local answer=
  { exec 9<>"/dev/tcp/127.0.0.1/${tcp[$1]}"; } 2>/dev/null || { echo refused; return; }
  printf 'GET lane\r\n' >&9
  IFS= read -r -t 2 answer <&9
  exec 9>&-
  echo "${answer%$'\r'}"
}

start_nodes() {
  local i node_ports=()
  for i in $(seq $nodes); do
    free_port port
    node_ports+=($port)
  done
  for i in $(seq 0 $((nodes - 1))); do
    "$node" $i "$record" "${node_ports[@]}" >"$work/node$i.log" 2>&1 &
    pid_of[node$i]=$!
    wait_until 5 grep -q listening "$work/node$i.log" || cannot_run "a node did not start"
  done
  seed=127.0.0.1:${node_ports[0]}
}

start_group() { # LEASE_MS
  [ -x "$balancer" ] && [ -x "$node" ] || cannot_run "not built"
  declare -gA udp tcp
  local name port
  for name in n0 n1 v0; do
    free_port port
    udp[$name]=$port
    free_port port
    tcp[$name]=$port
  done
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/group.key"
  echo >>"$work/group.key"
  cat >"$work/claim.sh" <<SH
#!/bin/sh
# claim.sh claim|release MACHINE
PATH=/usr/bin:/bin
case "\$1" in
  claim) sleep $claim_takes && : >"$work/claimed.\$2" ;;
  *) sleep $release_takes && rm -f "$work/claimed.\$2" ;;
esac
echo "\$(date +%s%3N) command: \$1 on the machine of \$2, term \$SILVERPIN_TERM" >>"$record"
SH
  chmod +x "$work/claim.sh"
  start_nodes
  for name in n0 n1 v0; do write_member $name "$1"; done
  start_voter
  start_member n0
  start_member n1
  wait_until 20 has_holder || cannot_run "no member came to hold the address"
  note "holder: $holder; a read through it: $(ask $holder)"
}

finish() { # EXIT_CODE
  for name in n0 n1 v0; do
    echo "--- log of $name" >>"$record"
    cat "$work/$name.log" >>"$record" 2>/dev/null
  done
  sed -i "s#$work#WORK#g; s#$root#ROOT#g" "$record"
  exit "$1"
}
