#!/bin/bash
# Case 3: the holder of a service address is told to end while a node of the cluster hangs. See claim.txt.
# TROUBLE=0: no node hangs.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
nodes=3
deadline_ms=3000
# What the commands take: under overlap_ms (300) and under withdraw_lead_ms (150, "what routers or commands take
# to act"), both as the page has them by default.
claim_takes=0.25 release_takes=0.14
pool_classes='
[[pool.class]]
name = "booking-confirm"
commands = ["WRITE"]
prefix = "booking:"
effect = "unsafe"
deadline_ms = '$deadline_ms
. "$case_dir/group.sh"

clients=16
kill_after_ms=$((deadline_ms + 700 + 20))  # SIGKILL: no sooner than the longest deadline and 0.7 s behind SIGTERM
send_after_ms=800

start_group 1000
if [ $holder = n0 ]; then other=n1; else other=n0; fi

# answer FD SECONDS: the next line, "closed" or "nothing".
answer() {
  local line
  if IFS= read -r -t "$2" -u "$1" line; then
    printf '%s\n' "${line%$'\r'}"
  elif [ $? -gt 128 ]; then
    echo nothing
  else
    echo closed
  fi
}

# Each client has one connection, which it has used before. Its booking's key is on node 1, for 6000 slots.
fds=() keys=()
n=0
while [ ${#keys[@]} -lt $clients ]; do
  n=$((n + 1))
  slot=$("$node" slot booking:$n)
  [ $slot -ge 5461 ] && [ $slot -lt 10922 ] && keys+=(booking:$n)
done
for i in $(seq 0 $((clients - 1))); do
  exec {fd}<>"/dev/tcp/127.0.0.1/${tcp[$holder]}" || cannot_run "no connection"
  fds+=($fd)
  printf 'SET warm-%s 1\r\n' $i | cat >&$fd
  reply=$(answer $fd 3)
  [ "$reply" = +OK ] || cannot_run "the group does not serve: $reply"
done
sleep 1

if [ "${TROUBLE:-1}" != 0 ]; then
  kill -STOP "${pid_of[node1]}"
  note "trouble: node 1 of $nodes hangs"
fi
began=$(now_ms)
kill -TERM "${pid_of[$holder]}"
note "SIGTERM to $holder"

until_ms() { local left=$(($1 - $(now_ms) + began)); [ $left -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"; }
until_ms $send_after_ms
# A client whose connection has been closed meanwhile goes elsewhere; the others send their booking.
sent=()
for i in $(seq 0 $((clients - 1))); do
  fd=${fds[$i]}
  if IFS= read -r -t 0.001 -u $fd line || [ $? -le 128 ]; then continue; fi
  printf 'SET %s 1\r\n' ${keys[$i]} | cat >&$fd 2>/dev/null && sent+=($i)
done
note "$((${#sent[@]})) bookings sent on connections that were still open, $(($(now_ms) - began)) ms behind SIGTERM"
[ ${#sent[@]} -gt 0 ] || cannot_run "no connection was open any more"

until_ms $kill_after_ms
if kill -0 "${pid_of[$holder]}" 2>/dev/null; then
  note "SIGKILL to $holder, $(($(now_ms) - began)) ms behind SIGTERM"
  kill -KILL "${pid_of[$holder]}"
else
  note "$holder has ended by itself"
fi
wait "${pid_of[$holder]}" 2>/dev/null
kill -CONT "${pid_of[node1]}" 2>/dev/null

lost=0
for i in "${sent[@]}"; do
  reply=$(answer ${fds[$i]} 1)
  note "client $i: SET ${keys[$i]} -> $reply"
  case $reply in nothing | closed) lost=$((lost + 1)) ;; esac
done
note "$lost of ${#sent[@]} bookings have no answer"
if [ $lost -gt 0 ]; then
  note "BROKEN: requests that a balancer had taken are lost"
  finish 1
fi
note "held"
finish 0
