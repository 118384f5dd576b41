# Sourced by run.sh of a case: plays the trial PROGRAM on the built daemon.
# TROUBLE=0 leaves the disruption out; SEED is 1 if it isn't set. Exit codes: 1
# the rule was broken, 0 it held, 2 the trial couldn't run.

# Ends the processes that the trial started and that still run, by their ids.
end_processes() { # argument: working folder
  local pid
  [ -f "$1/processes" ] || return 0
  while read -r pid; do
    case $(cat "/proc/$pid/comm" 2>/dev/null) in
      mimosa-entry | standin-platfor | spoiled_status | leaving_engine | slow_engine)
        kill -KILL "$pid" 2>/dev/null ;;
    esac
  done <"$1/processes"
}

play_trial() { # arguments: folder of the case, PROGRAM
  local folder program status=0
  folder=$(cd "$1" && pwd)
  cd "$folder/../.."
  program=build-review-2/review/$2
  if [ ! -x "$program" ] || [ ! -x target/tools/mimosa-entry ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh"
    exit 2
  fi
  work=$(mktemp -d)
  trap 'end_processes "$work"; rm -rf "$work"' EXIT
  trap 'exit 2' TERM INT HUP
  # In the background, so that a signal to this script is handled at once.
  timeout --signal=TERM --kill-after=4 112 "$program" \
    build-review-2/standins/standin-platform deploy/system.toml "$work" \
    "$folder/record.txt" "${TROUBLE:-1}" "${SEED:-1}" &
  wait $! || status=$?
  [ "$status" -le 1 ] || status=2
  exit "$status"
}
