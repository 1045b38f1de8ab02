# To be sourced: runs the steps of a script and records the processor time of each.
# The times are appended to the file $STEP_TIMES, if set; called scripts inherit it.

# step NAME COMMAND...: runs the command and returns its status. Records its time (user and system,
# including children) even if it fails.
step() {
  local name="$1" status=0 TIMEFORMAT="%U %S %R $1"
  shift
  if [ -z "${STEP_TIMES:-}" ]; then
    "$@"
    return
  fi
  # Standard error of the command is unchanged; the output of `time` goes to that of the braces.
  { time "$@" 2>&3 3>&-; } 3>&2 2>>"$STEP_TIMES" || status=$?
  return "$status"
}

# print_step_times: prints the recorded times as a table in minutes, with their sum.
print_step_times() {
  awk 'BEGIN { format = "  %-32s %6s %6s %6s\n"; printf format, "CPU minutes", "user", "system", "real" }
    { name = $0; sub(/^[^ ]+ [^ ]+ [^ ]+ /, "", name)
      printf format, name, minutes($1), minutes($2), minutes($3); sum += $1 + $2 }
    END { printf "  %-32s %6s (user and system)\n", "all", minutes(sum) }
    function minutes(seconds) { return sprintf("%.2f", seconds / 60) }' "$STEP_TIMES"
}
