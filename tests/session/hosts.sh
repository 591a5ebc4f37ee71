# Helpers for session scripts with host processes and the platform's stand-ins.
# Source after lib.sh. Each script has its own loopback network 127.NET.0.0.

standin=$(dirname "${BASH_SOURCE[0]}")/../standins/platform.py
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
store_address=$net.250:7000

declare -A host_ip

# start_store: starts the stand-in of the platform's record store.
start_store()
{
	start_program store python3 "$standin" store "$store_address"
}

# start_server ID N: starts the stand-in of a server at address N of the
# network.
start_server()
{
	start_program "$1" python3 "$standin" server "$net.$2:8000" "$1"
}

# control ADDRESS PATH: sends a request to a control path of a stand-in and
# prints the response body.
control()
{
	curl -sS -m 5 "http://$1$2"
}

# change_store PATH: the same for the store, without output.
change_store()
{
	control "$store_address" "$1" >"$work/change.out"
}

# put_record KEY VALUE: writes a record to the store.
put_record()
{
	curl -sS -m 5 -G "http://$store_address/control/put" \
		--data-urlencode "key=$1" --data-urlencode "value=$2" \
		>"$work/put.out"
}

# put_server ID N SERVICE DOMAIN STATE: writes a server's record.
put_server()
{
	put_record "servers/$1" "{\"service\":\"$3\",\"address\":\"$net.$2:8000\",\
\"zone\":\"$4\",\"slots\":4,\"state\":\"$5\",\"cold_remaining_ms\":0,\
\"sequence\":1,\"born\":1}"
}

# put_config VERSION KEYS: writes a configuration with one route of each kind
# and the API keys KEYS.
put_config()
{
	put_record op/config "{\"version\":$1,\"routes\":[${more_routes:-}\
{\"name\":\"once\",\"hostname\":\"h.example\",\"prefix\":\"/once/\",\
\"route_type\":\"non_idempotent\",\"timeout_ms\":1500,\
\"target_latency_ms\":300,\"priority\":1,\"service\":\"plain\",\
\"max_attempts\":1,\"public\":false},\
{\"name\":\"again\",\"hostname\":\"h.example\",\"prefix\":\"/again/\",\
\"route_type\":\"idempotent\",\"timeout_ms\":1500,\
\"target_latency_ms\":300,\"priority\":1,\"service\":\"plain\",\
\"max_attempts\":2,\"public\":false},\
{\"name\":\"stream\",\"hostname\":\"h.example\",\"prefix\":\"/stream/\",\
\"route_type\":\"streaming\",\"timeout_ms\":5000,\
\"target_latency_ms\":400,\"priority\":0,\"service\":\"plain\",\
\"max_attempts\":2,\"public\":false,\"stream_resume\":true,\
\"itl_target_ms\":200},\
{\"name\":\"single\",\"hostname\":\"h.example\",\"prefix\":\"/single/stream/\",\
\"route_type\":\"streaming\",\"timeout_ms\":5000,\
\"target_latency_ms\":400,\"priority\":0,\"service\":\"plain\",\
\"max_attempts\":1,\"public\":false}],\
\"services\":[{\"name\":\"plain\",\"health_path\":\"/healthz\",\
\"max_connections\":${max_connections:-100},\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
\"limits\":{\"max_header_bytes\":${max_header_bytes:-4096},\"max_body_bytes\":${max_body_bytes:-10000},\
\"header_timeout_ms\":${header_timeout_ms:-1000},\"idle_timeout_ms\":3000},\
\"tenants\":[{\"name\":\"desk\",\"api_keys\":[$2],\"priority\":0}]}"
}

# launch_host NAME N DOMAIN: starts a host process at address N with the seed
# hosts $seeds and the grace period $grace_s, and doesn't wait for it.
launch_host()
{
	local ip=$net.$2
	cat >"$work/$1.conf" <<END
node_name=$1
ip=$ip
zone=$3
region=$3
zones.d1=d1
zones.d2=d2
listen.front=$ip:8080
listen.readiness=$ip:8081
listen.control_plane=$ip:8082
internal_port_range=7340,7355
seed_nodes=${seeds:-$net.1:8082,$net.2:8082}
bounds.grace_s=${grace_s:-5}
bounds.retry_budget_ratio=1
bounds.retry_budget_slack=100
bounds.budget_window_s=10
platform.address=$store_address
${more_settings:-}
END
	"$build/peridot-hostd" --settings="$work/$1.conf" \
		>>"$work/$1.out" 2>>"$work/$1.err" &
	pid[$1]=$!
	address[$1]=$ip:8080
	host_ip[$1]=$ip
}

# start_host NAME N DOMAIN: launches a host and waits until it is ready.
start_host()
{
	launch_host "$@"
	wait_until 10 is_ready "${host_ip[$1]}"
}

is_ready()
{
	test "$(curl -s -m 1 -o "$work/ready" -w '%{http_code}' \
		"http://$1:8081/peridotpin/readyz")" = 200
}

# start_single_host: starts a store, the server s1 and the host h1, and checks that a
# request is served.
start_single_host()
{
	start_store
	start_server s1 101
	put_config 3 '"k1"'
	put_server s1 101 plain d1 ready
	start_host h1 1 d1
	send_request h1 before /once/a >"$work/before"
	pass_or_fail "a request is served" grep -q ': 200 ' "$work/before"
}

# send_request HOST ID PATH [CURL_ARGUMENT...]: sends a request with the attempt
# id ID and the API key $key; prints ID, status, server stamp, body and curl's
# exit code on one line.
key=k1
send_request()
{
	local host=$1 id=$2 path=$3
	shift 3
	curl -sS -m 8 -o "$work/body" -D "$work/head" -H 'Host: h.example' \
		-H "X-Peridotpin-Attempt-Id: $id" -H "Authorization: Bearer $key" \
		"$@" "http://${address[$host]}$path" 2>"$work/curl.err"
	local code=$?
	printf '%s: %s %s %s [curl %s]\n' "$id" \
		"$(sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p' "$work/head")" \
		"$(sed -n 's/^X-Peridotpin-Server-Stamp: \(.*\)\r/\1/p' "$work/head")" \
		"$(tr '\n' ' ' <"$work/body" | sed 's/ $//')" "$code"
	: >"$work/body"
	: >"$work/head"
}
