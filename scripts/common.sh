# Common functions for scripts that run processes on loopback. A script sets the
# variable run to its working folder before it sources this file.

bin=$PWD/bin
host=127.0.0.1
declare -A pid # process ids by name

# Kills the processes that the script started and that are still running.
cleanup() {
  local p
  for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null || true; done
}
trap cleanup EXIT

# Stops the named processes gracefully and concurrently. Fails if one of them does
# not exit with status 0.
stop() {
  local p status=0
  for p in "$@"; do kill -TERM "${pid[$p]}"; done
  for p in "$@"; do
    if ! wait "${pid[$p]}"; then
      echo "$p did not stop cleanly" >&2
      status=1
    fi
    unset "pid[$p]"
  done
  return $status
}

# Repeats a command until it succeeds, up to 150 times with pauses of 0.1 s, because
# the processes that it needs may still be starting.
eventually() {
  local n
  for ((n = 0; n < 150; n++)); do
    if "$@" >"$run/logs/last-try.log" 2>&1; then return 0; fi
    sleep 0.1
  done
  cat "$run/logs/last-try.log" >&2
  return 1
}

# Prints the flags that select the key files of the given name.
key_flags() {
  printf -- '--authority %s --certificate %s --private-key %s' "$run/keys/authority.pem" "$run/keys/$1.pem" "$run/keys/$1.key"
}

# Runs bramleymillctl as operator-1 with the addresses in the array admin_addresses.
# key_flags is not quoted, because it prints several flags.
ctl() {
  local a flags=()
  for a in "${admin_addresses[@]}"; do flags+=(--address "$a"); done
  # shellcheck disable=SC2046
  "$bin/bramleymillctl" "${flags[@]}" $(key_flags operator-1) "$@"
}

# Starts the replicated logs on the first control instance; the other control
# instances join automatically.
start_logs() {
  # shellcheck disable=SC2046
  eventually "$bin/bramleymillctl" --address "${admin_addresses[0]}" $(key_flags operator-1) init
}
