#!/bin/bash
# A server that repeats a refusal, or refuses before it was asked. Guards against
# "not run, try again" for a request that the server has run (REFUSED), and
# against such a request at a second server (TWICE).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1
s1=$net.101:8000

# set_modes SERVER MODES: sets how a server responds to its next requests.
set_modes()
{
	control "$1" "/control/mode?next=$2"
}

# run_id ID: a condition: a server has run the request ID.
run_id()
{
	control "$1" /control/arrivals | grep -q " $2\$"
}

echo "== a server repeats a refusal"
set_modes "$s1" late-refusal
send_request h1 refused-1 /once/a >"$work/refused"
sleep 0.6
send_request h1 refused-2 /once/a >"$work/refused"
pass_or_fail "a repeated refusal of another request is dropped" \
	grep -q 'refused-2: 200 .*after a late refusal' "$work/refused"
sleep 0.6
set_modes "$s1" late-id-refusal
send_request h1 refused-3 /once/a >"$work/refused"
sleep 0.6
send_request h1 refused-4 /once/a >"$work/refused"
pass_or_fail "the server has run the next request" run_id "$s1" refused-4
pass_or_fail "one without an id is no promise for the next request" \
	grep -q 'refused-4: 502 ' "$work/refused"
sleep 1.2
control "$s1" "/control/repeat?on=1"
set_modes "$s1" shed
send_request h1 refused-5 /once/a >"$work/refused"
pass_or_fail "the request was refused" grep -q 'refused-5: 503 ' "$work/refused"
sleep 0.6
for i in $(seq 12)
do
	send_request h1 "between-$i" /once/a >"$work/between"
done
send_request h1 refused-5 /once/a >"$work/refused"
pass_or_fail "nor is one with the id of a request that comes again" \
	grep -q 'refused-5: 200 ' "$work/refused"
control "$s1" "/control/repeat?on=0"
sleep 1.2
set_modes "$s1" late-id-refusal
send_request h1 refused-6 /once/a >"$work/refused"
sleep 0.6
expect_equal "nor is one without an id for a request without an id" 200 \
	"$(curl -s -m 5 -o "$work/body" -w '%{http_code}' -H 'Host: h.example' \
		-H "Authorization: Bearer $key" "http://${address[h1]}/once/a")"

echo "== a server speaks before it was asked"
control "$s1" "/control/greet?on=1"
put_record servers/s1 "{\"service\":\"plain\",\"address\":\"$s1\",\"zone\":\"d1\",\
\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
\"born\":2}"
sleep 1
for i in 1 2 3 4 5
do
	send_request h1 "early-$i" /once/a >"$work/early-$i"
	sleep 1
done
curl -s -m 1 -o "$work/greet" "http://$s1/control/greet?on=0"
sleep 0.2
for i in 1 2 3 4 5
do
	if grep -qE ': (429|503) ' "$work/early-$i"
	then
		pass_or_fail "early-$i: refused and not run" \
			eval '! run_id "$s1" "early-$i"'
	else
		pass_or_fail "early-$i: no promise" \
			grep -qE ': (200|502|504) ' "$work/early-$i"
	fi
done
sleep 2
send_request h1 after-early /once/a >"$work/early"
pass_or_fail "a server that waits for its request is used again" \
	grep -q 'after-early: 200 ' "$work/early"
finish
