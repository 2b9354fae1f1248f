# Functions of the scripts that run processes on loopback. A script sets run to
# its working folder and sources this file.

bin=$PWD/bin
host=127.0.0.1
declare -A pid # process ids by name

# Ends every process that the script started and that still runs.
cleanup() {
  local p
  for p in "${pid[@]}"; do kill -9 "$p" 2>/dev/null || true; done
}
trap cleanup EXIT

# Stops processes gracefully, side by side. It fails if one does not end cleanly.
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

# Tries a command again while processes start.
eventually() {
  local n
  for ((n = 0; n < 150; n++)); do
    if "$@" >"$run/logs/last-try.log" 2>&1; then return 0; fi
    sleep 0.1
  done
  cat "$run/logs/last-try.log" >&2
  return 1
}

# Prints the flags for the keys of a name.
key_flags() {
  printf -- '--authority %s --certificate %s --private-key %s' "$run/keys/authority.pem" "$run/keys/$1.pem" "$run/keys/$1.key"
}

# Runs bramleymillctl as operator-1 at the admin addresses in admin_addresses.
# Word splitting of the key flags is intended.
ctl() {
  local a flags=()
  for a in "${admin_addresses[@]}"; do flags+=(--address "$a"); done
  # shellcheck disable=SC2046
  "$bin/bramleymillctl" "${flags[@]}" $(key_flags operator-1) "$@"
}

# Starts the replicated logs on the first control instance; the others join.
start_logs() {
  # shellcheck disable=SC2046
  eventually "$bin/bramleymillctl" --address "${admin_addresses[0]}" $(key_flags operator-1) init
}
