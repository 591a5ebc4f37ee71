#!/bin/bash
# The load tool on the platform's protocol, against a host and the platform's
# stand-ins. Guards against a report that counts refusals, truncated streams or
# responses to other requests as served requests.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
start_server s2 102
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
put_server s2 102 plain d1 ready
start_host h1 1 d1

# write_scenario FILE KEY
write_scenario()
{
	cat >"$1" <<-END
	seed = 7
	duration_s = 2
	drain_s = 6
	max_requests = 500
	max_in_flight = 50
	model = "bear"
	entries = ["${address[h1]}"]
	[[customer]]
	name = "desk"
	key = "$2"
	[[class]]
	name = "report"
	customers = ["desk"]
	rate = [{at_percent = 0, per_min = 300}]
	host = "h.example"
	path = "/stream/report"
	prompt_tokens = 400
	prefixes = 3
	median_tokens = 8
	sigma_percent = 50
	max_tokens = 20
	first_token_ms = 1000
	deadline_ms = 4000
	[[class]]
	name = "booking"
	customers = ["desk"]
	rate = [{at_percent = 0, per_min = 300}]
	host = "h.example"
	path = "/once/booking"
	first_token_ms = 1000
	deadline_ms = 3000
	END
}

# class_field CLASS FIELD: prints a number of the JSON report.
class_field()
{
	grep "\"name\":\"$1\"" "$work/load.json" |
		sed "s/.*\"$2\":\([0-9.]*\).*/\1/"
}

# run_load FILE: sends the load; the report is in $work/load.json.
run_load()
{
	timeout 40 "$build/peridot-load" "$1" --json="$work/load.json" \
		--html="$work/load.html" >"$work/load.out" 2>"$work/load.err"
}

# arrival_count PATH: prints the number of requests for the path in the lists.
arrival_count()
{
	cat "$work"/s1.seen "$work"/s2.seen | grep -c " $1 "
}

# fetch_request_lists: fetches the lists of requests that the servers received
# since the last call.
fetch_request_lists()
{
	control "$net.101:8000" /control/seen >"$work/s1.seen"
	control "$net.102:8000" /control/seen >"$work/s2.seen"
}

write_scenario "$work/good.toml" k1
run_load "$work/good.toml"
expect_equal "exit status of a good run" 0 $?
for class in report booking
do
	pass_or_fail "$class sends requests" \
		test "$(class_field $class sent)" -gt 0
	expect_equal "$class completes all requests" \
		"$(class_field $class sent)" \
		"$(class_field $class completed)"
	expect_equal "$class meets its target" 1.0000 \
		"$(class_field $class first_token_attainment)"
done
fetch_request_lists
expect_equal "each booking ran once" "$(class_field booking sent)" \
	"$(arrival_count /once/booking)"
pass_or_fail "the report has plots" grep -q '<polyline' "$work/load.html"

# Broken streams are resumed at the other server and complete.
control "$net.101:8000" "/control/mode?next=half-stream,half-stream"
run_load "$work/good.toml"
fetch_request_lists
pass_or_fail "streams were broken" \
	grep -q half-stream "$work/s1.seen" "$work/s2.seen"
expect_equal "broken streams complete nevertheless" \
	"$(class_field report sent)" \
	"$(class_field report completed)"

# A response without a server stamp is not from an endpoint.
control "$net.101:8000" "/control/mode?next=unstamped,unstamped,unstamped"
control "$net.102:8000" "/control/mode?next=unstamped,unstamped,unstamped"
run_load "$work/good.toml"
pass_or_fail "responses without a server stamp don't count" test \
	"$(class_field booking completed)" -lt "$(class_field booking sent)"

write_scenario "$work/key.toml" wrong
run_load "$work/key.toml"
expect_equal "requests with a wrong key fail" "$(class_field booking sent)" \
	"$(class_field booking failed)"

stop_program s1
stop_program s2
run_load "$work/good.toml"
for class in report booking
do
	expect_equal "$class without servers did not run" \
		"$(class_field $class sent)" "$(class_field $class not_run)"
done

sed 's|^path = "/once/booking"|path = "once"|' "$work/good.toml" \
	>"$work/path.toml"
run_load "$work/path.toml"
expect_equal "a path without a slash is refused" 2 $?
finish
