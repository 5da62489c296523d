# Functions that start and stop a deployment of real processes on loopback, for
# the demo, the process tests and the measurements.  Sourced by bash scripts.
#
#   site_start DIR FLEET.yaml NETWORK ENTRY_HOSTS SERVICE_MS
#
# starts a platform stand-in, a backend stand-in for each host of the fleet and
# the entry hosts, whose addresses are 127.0.NETWORK.201 and on.

BIN=${BIN:-build}

# Addresses of entry host $1.
entry_url () { echo "http://127.0.$SITE_NETWORK.$((200 + $1)):8080"; }
admin_url () { echo "http://127.0.$SITE_NETWORK.$((200 + $1)):8081"; }

# All entry hosts' addresses, with commas.
site_urls () {
  local i urls=
  for i in $(seq "$SITE_ENTRIES"); do urls=$urls,$("$1" "$i"); done
  echo "${urls#,}"
}

site_write_settings () {
  local i=$1 zone
  zone=$(echo a b c | cut -d' ' -f$(((i - 1) % 3 + 1)))
  cat > "$SITE_DIR/entry-$i.yaml" <<END
name: entry-$i
zone: $zone
listen: 127.0.$SITE_NETWORK.$((200 + i)):8080
admin: 127.0.$SITE_NETWORK.$((200 + i)):8081
peer: 127.0.$SITE_NETWORK.$((200 + i)):7000
admin_token_file: $SITE_DIR/admin.token
secret_file: $SITE_DIR/peer.secret
platform:
  table: $PLATFORM_URL
  object_store: $PLATFORM_URL
  host_list: $PLATFORM_URL
  access_key: demo
  secret_key_file: $SITE_DIR/platform.secret
log:
  format: keyvalue
  level: ${SITE_LOG_LEVEL:-info}
requests:
  max_deadline_ms: ${SITE_MAX_DEADLINE_MS:-15000}
timing:
  lame_duck_ms: ${SITE_LAME_DUCK_MS:-1000}
${SITE_RECORD:+record: $SITE_DIR/entry-$i.session}
END
}

# Start entry host $1.
entry_start () {
  local i=$1
  "$BIN/programs/dogwoodpulleyd" --settings "$SITE_DIR/entry-$i.yaml" \
    >> "$SITE_DIR/entry-$i.log" 2>&1 &
  echo $! > "$SITE_DIR/entry-$i.pid"
  disown
}

entry_pid () { cat "$SITE_DIR/entry-$1.pid"; }

# The operators' command.
operate () {
  "$BIN/programs/dogwoodpulley" --server "$(site_urls admin_url)" \
    --token-file "$SITE_DIR/admin.token" "$@"
}

# Set switches of the platform stand-in.
platform_control () {
  curl -s -X POST "$PLATFORM_URL/control?$1" > /dev/null
}

# Wait until all entry hosts answer their balancer check with status $1.
site_wait_health () {
  local i code tries
  for i in $(seq "$SITE_ENTRIES"); do
    for tries in $(seq 200); do
      code=$(curl -s -o /dev/null -w '%{http_code}' "$(entry_url "$i")/healthz")
      [ "$code" = "$1" ] && break
      sleep 0.1
    done
    [ "$code" = "$1" ] || { echo "entry host $i: health $code, not $1"; return 1; }
  done
}

site_start () {
  local i name address
  SITE_DIR=$1 SITE_FLEET=$2 SITE_NETWORK=$3 SITE_ENTRIES=$4
  local service_ms=$5
  PLATFORM_URL=http://127.0.$SITE_NETWORK.200:9100
  mkdir -p "$SITE_DIR"
  SITE_DIR=$(cd "$SITE_DIR" && pwd)
  rm -f "$SITE_DIR"/*
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$SITE_DIR/admin.token"
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$SITE_DIR/peer.secret"
  echo demo-secret > "$SITE_DIR/platform.secret"
  awk '$1 == "-" && $2 == "name:" { name = $3 }
       $1 == "address:" { print name, $2 }' "$SITE_FLEET" > "$SITE_DIR/hosts"
  "$BIN/tests/standins/standin_platform" "${PLATFORM_URL#http://}" \
    $(cut -d' ' -f1 "$SITE_DIR/hosts") 2>> "$SITE_DIR/platform.log" &
  echo $! > "$SITE_DIR/platform.pid"
  disown
  while read -r name address; do
    "$BIN/tests/standins/standin_backend" "$name" "$address" "$service_ms" \
      2>> "$SITE_DIR/backends.log" &
    echo $! > "$SITE_DIR/backend-$name.pid"
    disown
  done < "$SITE_DIR/hosts"
  for i in $(seq "$SITE_ENTRIES"); do
    site_write_settings "$i"
    entry_start "$i"
  done
}

# Wait until an operator can reach every entry host.
site_wait_admin () {
  local i tries
  for i in $(seq "$SITE_ENTRIES"); do
    for tries in $(seq 100); do
      curl -s -o /dev/null "$(admin_url "$i")/metrics" && break
      sleep 0.1
    done
  done
}

# End every process that site_start has started, by its id.
site_stop () {
  local file
  for file in "$SITE_DIR"/*.pid; do
    [ -e "$file" ] || continue
    kill -CONT "$(cat "$file")" 2> /dev/null
    kill -KILL "$(cat "$file")" 2> /dev/null
    rm -f "$file"
  done
  return 0
}

# List how often the backends ran each identity: "IDENTITY COUNT" lines.
site_runs () {
  local address
  while read -r _ address; do
    curl -s "http://$address/standin/runs"
    echo
  done < "$SITE_DIR/hosts" |
    sed -n 's/.*"runs":{\([^}]*\)}.*/\1/p' | tr ',' '\n' | tr -d '"' |
    awk -F: 'NF == 2 { n[$1] += $2 } END { for (i in n) print i, n[i] }'
}
