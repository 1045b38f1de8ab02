#!/usr/bin/env bash
# Sends a short wire transcript through the adapter: once with both instances in one process, once
# with one process per instance. Each instance must make the same decisions in both runs, every
# request must be sent, and malformed input must end the adapter with one line on stderr and a
# non-zero exit status.
set -euo pipefail
adapter=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

options='{"balancers":2,"classes":[{"aim":300000000,"giveUp":750000000,"semantics":"read_like","worth":1}],"discovery":"pushed","specifics":{"mode":"aside","originKind":1},"policyLimits":{"maxAttempts":4,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000000},"rules":{"answerSlack":20000000,"drainGrace":1000000000,"warmAfter":10000000000,"startCapacity":0.2,"fall":1000000000,"tipMultiple":3.0,"mustAskIn":10000000000},"new":{"thing":[1]}}'
rows='[{"host":"h1:1","hw":0,"availability":"in_service","scale":1},{"host":"h2:1","hw":0,"availability":"in_service","scale":1},{"host":"o:1","hw":1,"availability":"in_service","scale":1}]'
start() {
  echo "{\"who\":$1,\"events\":[{\"t\":\"provision\",\"entropy\":$((77 + $1)),\"options\":$options},{\"t\":\"fleet\",\"gen\":1,\"kind\":\"remembered\",\"rowsIn\":$rows}]}"
}
submits() {  # instance, count
  local list='' i
  for i in $(seq 1 "$2"); do
    list+=$(printf ',{"t":"submit","handle":"%08x%08x","priority":0,"item":"k%d","stateBits":0,"budget":500000000}' "$1" "$i" $((i % 7)))
  done
  echo "{\"who\":$1,\"events\":[${list:1}]}"
}
misses() {  # instance, count: the first attempt of each request misses
  local list='' i
  for i in $(seq 1 "$2"); do
    list+=$(printf ',{"t":"completed","handle":"%08x%08x","sendNo":0,"host":"h1:1","status":204,"latency":9,"complete":false,"load":null}' "$1" "$i")
  done
  echo "{\"who\":$1,\"events\":[${list:1}]}"
}
batch() { echo "{\"moment\":$1,\"balancers\":[$(shift; IFS=,; echo "$*")]}"; }

for part in both 0 1; do
  {
    echo '{"moment":5,"balancers":[]}'
    if [ "$part" = both ]; then
      batch 1000 "$(start 0)" "$(start 1)"
      batch 2000 "$(submits 0 20)" "$(submits 1 30)"
      batch 9000000 "$(misses 0 20)" "$(misses 1 30)"
    else
      batch 1000 "$(start "$part")"
      batch 2000 "$(submits "$part" $((20 + 10 * part)))"
      batch 9000000 "$(misses "$part" $((20 + 10 * part)))"
    fi
  } > "$work/in.$part"
  "$adapter" < "$work/in.$part" > "$work/out.$part"
done

# One line per instance and batch, so that the replies of the two runs can be compared.
lines() { grep -ho '{"who":[01],"decisions":\[[^]]*\]}' "$@" | sort; }
lines "$work/out.both" > "$work/joint"
lines "$work/out.0" "$work/out.1" > "$work/split"
cmp "$work/joint" "$work/split" || { echo "the decisions differ when the instances run in two processes"; exit 1; }
[ "$(wc -l < "$work/out.both")" = 4 ] || { echo "the number of replies differs from the number of batches"; exit 1; }
[ "$(grep -o '"host":"h[12]:1"' "$work/out.both" | wc -l)" = 50 ] || { echo "not every request was sent to a cache host"; exit 1; }
grep -q '"host":"o:1"' "$work/out.both" || { echo "no miss was fetched from the origin"; exit 1; }

for bad in 'nonsense' '[]' '{"moment":1}' '{"moment":"x","balancers":[]}' \
  '{"moment":1,"balancers":[{"who":9,"events":[{"t":"wakeup","tag":1}]}]}' \
  '{"moment":1,"balancers":[{"who":9,"events":[{"t":"provision","entropy":1,"options":{}}]}]}'; do
  if echo "$bad" | "$adapter" > "$work/bad.out" 2> "$work/bad.err"; then
    echo "accepted: $bad"; exit 1
  fi
  [ "$(wc -l < "$work/bad.err")" = 1 ] && [ ! -s "$work/bad.out" ] || { echo "expected one line on stderr and no output for: $bad"; exit 1; }
done
echo "transcript ok"
