#!/bin/bash
# Usage: silent_sends.sh BUILD_DIR
# Prints how many requests are answered whole in time while servers are slower
# than usual, and how many sends a request takes.
build=$1
. "$(dirname "$0")/../session/lib.sh"
. "$(dirname "$0")/../session/hosts.sh"

callers=4
requests_per_caller=15
max_connections=2000

# control_all FIRST LAST PATH: sends a request to the control path of servers.
control_all()
{
	local i
	for i in $(seq "$1" "$2")
	do
		control "$net.$((100 + i)):8000" "$3"
		echo
	done
}

# run_caller NAME PATH EVENTS: sends requests one after the other; prints a line
# for each that is answered whole, with EVENTS events.
run_caller()
{
	local i
	for i in $(seq $requests_per_caller)
	do
		curl -s -m 8 -w '%{stderr}%{http_code}:%{exitcode}' \
			-H 'Host: h.example' -H "Authorization: Bearer $key" \
			-H "X-Peridotpin-Attempt-Id: $1-$i" \
			"http://${address[h1]}$2" >"$work/$1.body" 2>"$work/$1.code"
		test "$(cat "$work/$1.code")" = 200:0 &&
			test "$(grep -c '^data: ' "$work/$1.body")" = "$3" && echo whole
	done
}

# measure SERVERS SLOW KIND PATH EVENTS DELAY: starts a host with SERVERS
# servers, of which SLOW become slow, and prints a row of the table.
measure()
{
	local before sends whole i processes=()
	start_store
	put_config 3 '"k1"'
	for i in $(seq "$1")
	do
		start_server "s$i" $((100 + i))
		put_server "s$i" $((100 + i)) plain d1 ready
	done
	start_host h1 1 d1
	for i in $(seq 30)
	do
		send_request h1 "usual-$i" "$4" >"$work/usual"
	done
	control_all 1 "$2" "/control/delay?$6" >"$work/delay"
	before=$(control_all 1 "$1" /control/count | paste -sd+ | bc)
	for i in $(seq $callers)
	do
		run_caller "caller-$i" "$4" "$5" >"$work/whole.$i" &
		processes+=($!)
	done
	wait "${processes[@]}"
	whole=$(cat "$work"/whole.* | wc -l)
	sends=$(control_all 1 "$1" /control/count | paste -sd+ | bc)
	printf '| %s of %s | %s, %s | %d of %d | %d |\n' "$2" "$1" "$3" "$6" \
		"$whole" $((callers * requests_per_caller)) $((sends - before))
	for i in "${!pid[@]}"
	do
		stop_program "$i" KILL
	done
}

echo "| slow servers | requests | whole in time | sends |"
echo "|---|---|---|---|"
for servers in "1 1" "4 1" "4 4"
do
	read -r all slow <<<"$servers"
	measure "$all" "$slow" lookups /again/a 0 "ms=700"
	measure "$all" "$slow" streams /stream/a 5 "ms=1500"
	measure "$all" "$slow" streams /stream/a 5 "ms=0&event_ms=900"
done
