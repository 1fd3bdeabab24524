#!/usr/bin/env bash
# Runs both sample deployments on loopback: emulated dependencies, 7 instances, configuration and top-ups through
# lacectl, load, one instance killed while streams are open, and a top-up during the run. Writes only under out/demo.
# Exits with 1 if a guarantee was violated and with 2 if the demo itself failed.
#
#   scripts/demo.sh [coop] [shrestha]
#
# The ports are those of the samples; instance N of the co-operative listens on 80N0 to 80N2, of Shrestha on 81N0 to
# 81N2.
set -euo pipefail
cd "$(dirname "$0")/.."

SEED=${SEED:-7}
DURATION=${DURATION:-9s}
INSTANCES=7
KILLED=3
out=out/demo
pids=()

# end PID...: terminates processes that this script started, each by its process ID; kills them after 5 s.
end() {
  local pid alive
  for pid in "$@"; do kill "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    alive=0
    for pid in "$@"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "$@"; do
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# Terminates the emulators last, because an instance returns its grants when it shuts down.
finish() {
  [ ${#pids[@]} = 0 ] && return 0
  end "${pids[@]:1}"
  end "${pids[0]}"
  pids=()
}
trap finish EXIT
trap 'exit 2' INT TERM

fail() {
  echo "demo: $*" >&2
  exit 2
}

# start LOG PROGRAM ARGUMENTS...: starts a background process and sets $started to its process ID.
start() {
  "${@:2}" >"$1" 2>&1 &
  started=$!
  pids+=("$started")
}

# within SECONDS COMMAND...: retries a command until it succeeds or the timeout expires.
within() {
  for _ in $(seq $(($1 * 10))); do
    "${@:2}" && return 0
    sleep 0.1
  done
  return 1
}

answers() { curl -sf -o /dev/null --max-time 2 "http://$1"; }

# running ADDRESS: prints the number of requests in progress at an instance.
running() { curl -s --max-time 2 "http://$1/metrics" | awk '$1 == "lace_requests_running" { print int($2) }'; }

streaming() { [ "$(running "$1")" -gt 0 ] 2>/dev/null; }

# budgets FILE: prints the account, name and paid tokens of each budget of a workload.
budgets() {
  awk '/^accounts:/ { on = 1; next } /^[a-z]/ { on = 0 } !on { next }
    /^  [a-z-]+:$/ { account = substr($1, 1, length($1) - 1) }
    /- name:/ { name = $3 } /paid:/ { print account, name, $2 }' "$1"
}

# settings N: writes the settings file of instance N, derived from the sample.
settings() {
  local zones=($zones)
  local port=$((base + $1 * 10))
  sed -e "s/^instance: .*/instance: router-$1/" \
    -e "s/^region: .*/region: $name/" \
    -e "s/^zone: .*/zone: ${zones[$((($1 - 1) % ${#zones[@]}))]}/" \
    -e "s/127\.0\.0\.1:8080/127.0.0.1:$port/" \
    -e "s/127\.0\.0\.1:8081/127.0.0.1:$((port + 1))/" \
    -e "s/127\.0\.0\.1:8082/127.0.0.1:$((port + 2))/" \
    -e "s/127\.0\.0\.1:2379/127.0.0.1:$platform/" \
    -e "s/127\.0\.0\.1:2380/127.0.0.1:$((platform + 1))/" \
    -e "s/^lean: .*/lean: $lean/" samples/router.yaml >"$dir/router-$1.yaml"
}

# operators: generates an operator token for this run and the operators file with its hash.
operators() {
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/token"
  chmod 600 "$dir/token"
  cat >"$dir/operators.yaml" <<END
operators:
  demo:
    token: $(sha256sum "$dir/token" | cut -d' ' -f1)
    may: [accounts, servers, models, services, routing, limits, audit, budgets]
END
}

lacectl() { bin/lacectl "$@" -address "$admins" -token "$dir/token" >>"$dir/lacectl.log"; }

# deployment NAME PLATFORM-PORT FIRST-PORT LEAN BUDGET TOKENS ZONES: runs one deployment. BUDGET starts with only TOKENS
# tokens until it is topped up during the run.
deployment() {
  name=$1 platform=$2 base=$3 lean=$4 scarce=$5 first=$6 zones=$7
  dir=$out/$name
  rm -rf "$dir"
  mkdir -p "$dir"
  answers "127.0.0.1:$platform/v1/counts" && fail "port $platform is in use; is another demo running?"
  start "$dir/standin.log" bin/standin -config "samples/$name-standin.yaml" -seed "$SEED"
  within 20 answers "127.0.0.1:$platform/v1/counts" || fail "the stand-ins did not start, see $dir/standin.log"
  operators
  addresses='' admins='' killed=''
  for n in $(seq $INSTANCES); do
    settings "$n"
    start "$dir/router-$n.log" bin/router -settings "$dir/router-$n.yaml" -admin.operators "$dir/operators.yaml"
    [ "$n" = $KILLED ] && killed=$started
    addresses=$addresses,127.0.0.1:$((base + n * 10))
    admins=$admins,127.0.0.1:$((base + n * 10 + 2))
  done
  addresses=${addresses#,} admins=${admins#,}
  for n in $(seq $INSTANCES); do
    within 20 answers "127.0.0.1:$((base + n * 10))/healthz" || fail "instance $n did not start, see $dir/router-$n.log"
  done
  lacectl config apply "samples/$name.yaml" || fail "the configuration was not applied, see $dir/lacectl.log"
  while read -r _ budget paid; do
    [ "$budget" = "$scarce" ] && paid=$first
    lacectl budgets top-up "$budget" "$paid" -id "demo-$budget" || fail "budget $budget was not topped up"
  done < <(budgets "samples/$name-load.yaml")
  for n in $(seq $INSTANCES); do
    within 20 answers "127.0.0.1:$((base + n * 10))/readyz" || fail "instance $n is not ready, see $dir/router-$n.log"
  done
  play
  finish
}

# play: generates the load, and during it kills one instance and tops up a budget.
play() {
  local load victim=127.0.0.1:$((base + KILLED * 10))
  start "$dir/load.log" bin/loadgen run -workload "samples/$name-load.yaml" -seed "$SEED" -duration "$DURATION" \
    -addresses "$addresses" -admin "$admins" -token "$dir/token" -out "$dir/result"
  load=$started
  sleep 3
  within 5 streaming "$victim" || fail "instance $KILLED has no request in progress"
  open=$(running "$victim")
  kill -9 "$killed"
  { wait "$killed" || true; } 2>/dev/null
  echo "$name: instance $KILLED killed with $open requests in progress"
  lacectl budgets top-up "$scarce" 100000 -id "demo-$scarce-again" || fail "budget $scarce was not topped up"
  echo "$name: budget $scarce topped up"
  local code=0
  wait "$load" || code=$?
  [ "$code" -le 1 ] || fail "the load tool failed, see $dir/load.log"
  cat "$dir/result/report.txt"
  echo
  [ "$code" = 0 ] || broken="$broken $name"
}

broken=''
for which in "${@:-coop shrestha}"; do
  for d in $which; do
    case $d in
    coop) deployment coop 7300 8000 available training 300 'coop-a coop-b coop-c coop-d' ;;
    shrestha) deployment shrestha 7400 8100 strict public 30 'shrestha-a shrestha-b shrestha-c' ;;
    *) fail "no deployment is called $d" ;;
    esac
  done
done
[ -z "$broken" ] || {
  echo "demo: a promise was broken:$broken" >&2
  exit 1
}
