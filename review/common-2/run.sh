# Sourced by run.sh of a case: plays the trial PROGRAM on the built daemon.
# TROUBLE=0 leaves the disruption out; SEED is 1 if it isn't set. Exit codes: 1
# the rule was broken, 0 it held, 2 the trial couldn't run.
play_trial() { # arguments: folder of the case, PROGRAM
  local folder program work status=0
  folder=$(cd "$1" && pwd)
  cd "$folder/../.."
  program=build-review-2/review/$2
  if [ ! -x "$program" ] || [ ! -x target/tools/mimosa-entry ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh"
    exit 2
  fi
  work=$(mktemp -d)
  timeout --signal=TERM --kill-after=6 112 "$program" \
    build-review-2/standins/standin-platform deploy/system.toml "$work" \
    "$folder/record.txt" "${TROUBLE:-1}" "${SEED:-1}" || status=$?
  rm -rf "$work"
  [ "$status" -le 1 ] || status=2
  exit "$status"
}
