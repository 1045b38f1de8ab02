# To be sourced: runs the steps of a script and notes what processor time each took.
# The notes go to the file $STEP_TIMES, if that is set; scripts that are called inherit it.

# step NAME COMMAND...: runs the command, notes its time (user and system, children included) whether
# or not it succeeds, and returns its status.
step() {
  local name="$1" status=0 TIMEFORMAT="%U %S %R $1"
  shift
  if [ -z "${STEP_TIMES:-}" ]; then
    "$@"
    return
  fi
  # The command keeps its standard error; `time` writes to that of the braces around it.
  { time "$@" 2>&3 3>&-; } 3>&2 2>>"$STEP_TIMES" || status=$?
  return "$status"
}

# print_step_times: the notes as a table in minutes, with their sum.
print_step_times() {
  awk 'BEGIN { format = "  %-32s %6s %6s %6s\n"; printf format, "CPU minutes", "user", "system", "real" }
    { name = $0; sub(/^[^ ]+ [^ ]+ [^ ]+ /, "", name)
      printf format, name, minutes($1), minutes($2), minutes($3); sum += $1 + $2 }
    END { printf "  %-32s %6s (user and system)\n", "all", minutes(sum) }
    function minutes(seconds) { return sprintf("%.2f", seconds / 60) }' "$STEP_TIMES"
}
