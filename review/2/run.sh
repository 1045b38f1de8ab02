#!/bin/bash
# Case 2: an MGET in front of a DEL, in one pipeline, while the slot is on its way. See claim.txt.
# TROUBLE=0: the slot stays where it is.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
record=$case_dir/record.txt
work=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
: >"$record"
cluster_pid= balancer_pid=
trap 'exec 2>/dev/null; kill -KILL $cluster_pid $balancer_pid; wait; rm -rf "$work"' EXIT
trap 'exit 2' HUP INT TERM
note() { printf '%s %s\n' "$(date +%s%3N)" "$*" >>"$record"; }
cannot_run() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }
[ -x "$root/build/balancer" ] && [ -x "$root/build/review_resp_cluster" ] || cannot_run "not built"

rounds=10

# A stand-in that finds a port taken ends; then others are tried.
for _ in $(seq 20); do
  port_a=$((20000 + RANDOM % 12000))
  "$root/build/review_resp_cluster" $port_a $((port_a + 1)) "$record" >"$work/cluster.log" 2>&1 &
  cluster_pid=$!
  for _ in $(seq 50); do grep -q listening "$work/cluster.log" && break 2; sleep 0.02; done
done
grep -q listening "$work/cluster.log" || cannot_run "the cluster did not start"

cat >"$work/operator.toml" <<TOML
[process]
name = "n0"

[[pool]]
name = "rate-history"
seeds = ["127.0.0.1:$port_a"]

[[listener]]
name = "resp"
address = "127.0.0.1:0"
pool = "rate-history"
TOML
(cd "$root" && exec build/balancer --operator "$work/operator.toml") >"$work/balancer.log" 2>&1 &
balancer_pid=$!
for _ in $(seq 250); do grep -q 'RESP on' "$work/balancer.log" && break; sleep 0.02; done
port=$(sed -n 's/.*RESP on 127.0.0.1:\([0-9]*\).*/\1/p' "$work/balancer.log")
[ -n "$port" ] || cannot_run "the balancer did not start"
sleep 0.5
exec 9<>"/dev/tcp/127.0.0.1/$port" || cannot_run "no connection"
exec 8<>"/dev/tcp/127.0.0.1/$port_a" || cannot_run "no connection to node A"

# answer FD: the next answer, in one line; the parts of an array behind each other.
answer() {
  local line more n out
  IFS= read -r -t 5 line <&$1 || { echo "(none)"; return; }
  line=${line%$'\r'}
  if [[ $line == \$[0-9]* ]]; then
    IFS= read -r -t 5 more <&$1
    line=${more%$'\r'}
  elif [[ $line == \** ]]; then
    n=${line#\*} out=
    while [ "$n" -gt 0 ]; do out="$out $(answer $1)" n=$((n - 1)); done
    line="[$out ]"
  fi
  printf '%s\n' "$line"
}
tell_cluster() {
  printf '%s\r\n' "$*" >&8
  local reply
  reply=$(answer 8)
  [ "$reply" = +OK ] || cannot_run "the cluster answered '$reply' to $*"
}

broken=0
for i in $(seq $rounds); do
  a="{lane}:a$i" b="{lane}:b$i"
  for key in $a $b; do
    printf 'SET %s value-of-%s\r\n' $key $key | cat >&9
    reply=$(answer 9)
    [ "$reply" = +OK ] || cannot_run "the value could not be set: $reply"
  done
  [ "${TROUBLE:-1}" = 0 ] || tell_cluster STANDIN MOVE $b
  # One client, one connection, one write: the read of both, then the command that removes one.
  printf 'MGET %s %s\r\nDEL %s\r\n' $a $b $a | cat >&9
  mget=$(answer 9)
  del=$(answer 9)
  note "client: in one pipeline MGET $a $b -> $mget; DEL $a -> $del"
  # Both values were there before the pipeline and nobody else writes: both, or an error, is right.
  if [ "$mget" != "[ value-of-$a value-of-$b ]" ] && [[ $mget != -* ]]; then
    note "BROKEN: the MGET stands in front of the DEL and shows what the DEL has left"
    broken=$((broken + 1))
  fi
  [ "${TROUBLE:-1}" = 0 ] || tell_cluster STANDIN STABLE
done
cat "$work/balancer.log" >>"$record"
sed -i "s#$work#WORK#g; s#$root#ROOT#g" "$record"
note "$broken of $rounds reads were answered with what a later command had left"
[ $broken = 0 ] || exit 1
exit 0
