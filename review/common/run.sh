# Sourced by each case's run.sh with its number in CASE: plays the case from the root of the repository, in a temporary
# folder, for 120 s at most. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
HERE="$(cd "$(dirname "$0")" && pwd)"
cd "$HERE/../.." || exit 2
[ -x "build/review/case$CASE" ] && [ -x build/flintweir ] || { echo "not built: build/flintweir, review/build.sh" >&2; exit 2; }
NODE_RUN="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)"
CASE_TMP="$(mktemp -d)" || exit 2
export NODE_RUN CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
timeout -s KILL 115 "build/review/case$CASE" "$HERE/record.txt" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' HUP INT TERM  # the nodes end with the case
wait "$pid"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$CASE_TMP"/*.log "$KEEP_LOGS"/
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
