# Bash functions that start and stop a site, that is a deployment of real
# processes on loopback, for the demo, the process tests and the measurements.
# Source it from the top of the source tree.  A script can use one site at a
# time; sites of several scripts need different directories and networks.
#
#   site_start DIR FLEET.yaml NETWORK ENTRY_HOST_COUNT SERVICE_TIME_MS
#
# The files in DIR are deleted, and it gets the settings, logs and process IDs.
# The platform stand-in has the address 127.0.NETWORK.200, and the entry hosts
# have the addresses from 127.0.NETWORK.201.  The backend stand-ins have the
# addresses of the hosts in FLEET.yaml; each request takes SERVICE_TIME_MS
# there.
#
# Variables that override settings of the entry hosts: SITE_LOG_LEVEL,
# SITE_MAX_DEADLINE_MS, SITE_MAX_REQUESTS, SITE_LAME_DUCK_MS, and SITE_RECORD
# (not empty: record the session to entry-N.session).

BIN=${BIN:-build}

# Print the URL of entry host $1, numbered from 1: for requests (entry_url) or
# for operators (admin_url).
entry_url () { echo "http://127.0.$SITE_NETWORK.$((200 + $1)):8080"; }
admin_url () { echo "http://127.0.$SITE_NETWORK.$((200 + $1)):8081"; }

# Print the URLs of all entry hosts, joined with commas.  $1 is entry_url or
# admin_url.
site_urls () {
  local i urls=
  for i in $(seq "$SITE_ENTRY_COUNT"); do urls=$urls,$("$1" "$i"); done
  echo "${urls#,}"
}

# Write the settings file of entry host $1.
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
  max_requests: ${SITE_MAX_REQUESTS:-4096}
timing:
  lame_duck_ms: ${SITE_LAME_DUCK_MS:-1000}
${SITE_RECORD:+record: $SITE_DIR/entry-$i.session}
END
}

# Start entry host $1 in the background.  Its settings file must exist.
entry_start () {
  local i=$1
  "$BIN/programs/dogwoodpulleyd" --settings "$SITE_DIR/entry-$i.yaml" \
    >> "$SITE_DIR/entry-$i.log" 2>&1 &
  echo $! > "$SITE_DIR/entry-$i.pid"
  disown
}

# Print the process ID of entry host $1, also after it has ended.
entry_pid () { cat "$SITE_DIR/entry-$1.pid"; }

# Run the operators' command with the arguments "$@".
operator_cli () {
  "$BIN/programs/dogwoodpulley" --server "$(site_urls admin_url)" \
    --token-file "$SITE_DIR/admin.token" "$@"
}

# Set switches of the platform stand-in: $1 is NAME=VALUE&...
platform_control () {
  curl -s -X POST "$PLATFORM_URL/control?$1" > /dev/null
}

# Wait until the health check of each entry host returns HTTP status $1.
# Return 1 if one doesn't do so within about 20 s.
site_wait_health () {
  local i status attempt
  for i in $(seq "$SITE_ENTRY_COUNT"); do
    for attempt in $(seq 200); do
      status=$(curl -s -o /dev/null -w '%{http_code}' "$(entry_url "$i")/healthz")
      [ "$status" = "$1" ] && break
      sleep 0.1
    done
    [ "$status" = "$1" ] || { echo "entry host $i: health check returned HTTP status $status after 20 s, expected $1"; return 1; }
  done
}

# See the head of this file.
site_start () {
  local i name address
  SITE_DIR=$1 SITE_FLEET_FILE=$2 SITE_NETWORK=$3 SITE_ENTRY_COUNT=$4
  local service_time_ms=$5
  PLATFORM_URL=http://127.0.$SITE_NETWORK.200:9100
  mkdir -p "$SITE_DIR"
  SITE_DIR=$(cd "$SITE_DIR" && pwd)
  rm -f "$SITE_DIR"/*
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$SITE_DIR/admin.token"
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$SITE_DIR/peer.secret"
  echo demo-secret > "$SITE_DIR/platform.secret"
  awk '$1 == "-" && $2 == "name:" { name = $3 }
       $1 == "address:" { print name, $2 }' "$SITE_FLEET_FILE" > "$SITE_DIR/hosts"
  "$BIN/tests/standins/standin_platform" "${PLATFORM_URL#http://}" \
    $(cut -d' ' -f1 "$SITE_DIR/hosts") 2>> "$SITE_DIR/platform.log" &
  echo $! > "$SITE_DIR/platform.pid"
  disown
  while read -r name address; do
    "$BIN/tests/standins/standin_backend" "$name" "$address" "$service_time_ms" \
      2>> "$SITE_DIR/backends.log" &
    echo $! > "$SITE_DIR/backend-$name.pid"
    disown
  done < "$SITE_DIR/hosts"
  for i in $(seq "$SITE_ENTRY_COUNT"); do
    site_write_settings "$i"
    entry_start "$i"
  done
}

# Wait until the admin address of every entry host accepts connections, at most
# about 10 s for each.  A timeout isn't reported.
site_wait_admin () {
  local i attempt
  for i in $(seq "$SITE_ENTRY_COUNT"); do
    for attempt in $(seq 100); do
      curl -s -o /dev/null "$(admin_url "$i")/metrics" && break
      sleep 0.1
    done
  done
}

# Kill every process of the site, also stopped ones, by its recorded process
# ID.
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

# Print how often the backends together ran each request, as lines
# "IDEMPOTENCY_KEY COUNT".
site_run_counts () {
  local address
  while read -r _ address; do
    curl -s "http://$address/standin/runs"
    echo
  done < "$SITE_DIR/hosts" |
    sed -n 's/.*"runs":{\([^}]*\)}.*/\1/p' | tr ',' '\n' | tr -d '"' |
    awk -F: 'NF == 2 { n[$1] += $2 } END { for (i in n) print i, n[i] }'
}
