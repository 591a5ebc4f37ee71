#!/bin/bash
# Bookings run at most once and "not run" means no run, by the service's own
# count, through repeated tickets, crashes, pauses and cuts at every hop.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

hosts_per_domain=1
domains=(north)
# Short timeouts, since a restarted dispatcher's quarantine follows the longest.
courier_timeout_ms=1500
chat_timeout_ms=1500
tag_timeout_ms=1500
report_timeout_ms=2000
caller_key=$customer_key
start_service service-1
start_relay to-service "${address[service-1]}"
start_relay to-dispatchd "$(listen_address north 1)"
relayed[north-1]=${address[to-dispatchd]}
endpoint_domain=([service-1]=north)
endpoint_kind=([service-1]=service)
endpoint_address[service-1]=${address[to-service]}
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_dispatchd north 1
start_entryd north 1
start_entryd north 2

# get_ticket ENTRY BODY: sets "ticket" to a fresh one, once the fleet serves.
get_ticket()
{
	wait_until 10 answered_as 428 call_service "$1" book_return "$2"
	ticket=$(header X-Peridot-Ticket)
}

# book FILE ENTRY BODY [CURL_ARGUMENT...]: one booking with the ticket; writes
# "STATUS OUTCOME", the body to FILE.body and the headers to FILE.headers.
book()
{
	local file=$1 entry=$2 body=$3 status
	shift 3
	status=$("${curl_base[@]}" -o "$file.body" -D "$file.headers" \
		-w '%{http_code}' -H "Authorization: Bearer $caller_key" \
		-H "X-Peridot-Ticket: $ticket" "$@" --data-binary "$body" \
		"http://${address[$entry]}/v1/services/claims/book_return")
	echo "$status $(sed -n 's/^X-Peridot-Outcome: \(.*\)\r$/\1/Ip' \
		"$file.headers")" >"$file"
}

runs()
{
	get_stat service-1 total_runs
}

# is_answered FILE STATUS OUTCOME: a condition.
is_answered()
{
	test "$(cat "$1")" = "$2 $3"
}

# dispatch_is_idle: a condition: the dispatcher has no request left.
dispatch_is_idle()
{
	status_of dispatchd-north-1 | grep -q '"requests":0[,}]'
}

# booked_as ENTRY BODY STATUS OUTCOME: a condition for wait_until.
booked_as()
{
	book "$work/again" "$1" "$2"
	is_answered "$work/again" "$3" "$4"
}

# The same ticket at once from both entry daemons: one run, one answer for all.
get_ticket entryd-north-1 '{"row":"parallel"}'
before=$(runs)
set_switch service-1 run_ms=300
for i in $(seq 20)
do
	book "$work/parallel-$i" "entryd-north-$((i % 2 + 1))" \
		'{"row":"parallel"}' &
	callers[i]=$!
done
wait "${callers[@]}"
expect_equal "20 answers of one ticket are the same" 1 \
	"$(cat "$work"/parallel-*.body | sort -u | wc -l)"
expect_equal "20 calls of one ticket are completed" "200 completed" \
	"$(cat "$work"/parallel-? "$work"/parallel-?? | sort -u)"
expect_equal "runs of one ticket used 20 times" 1 $(($(runs) - before))

# A ticket of another customer, a forged one and another body.
get_ticket entryd-north-1 '{"row":"refused"}'
before=$(runs)
caller_key=$other_key
book "$work/other" entryd-north-1 '{"row":"refused"}'
caller_key=$customer_key
expect_equal "ticket of another customer" "403 not-run" "$(cat "$work/other")"
kept=$ticket
last=${ticket: -1}
ticket=${ticket%?}$(test "$last" = 0 && echo 1 || echo 0)
book "$work/forged" entryd-north-1 '{"row":"refused"}'
expect_equal "forged ticket" "400 not-run" "$(cat "$work/forged")"
ticket=nonsense
book "$work/nonsense" entryd-north-1 '{"row":"refused"}'
expect_equal "text that is no ticket" "400 not-run" "$(cat "$work/nonsense")"
ticket=$kept
expect_equal "runs with refused tickets" 0 $(($(runs) - before))
book "$work/first" entryd-north-2 '{"row":"refused"}'
book "$work/body" entryd-north-1 '{"row":"other body"}'
expect_equal "ticket at another entry daemon" "200 completed" \
	"$(cat "$work/first")"
expect_equal "ticket with another body" "422 not-run" "$(cat "$work/body")"
expect_equal "runs with another body" 1 $(($(runs) - before))

# A service slower than the timeout: unknown, then the true result.
get_ticket entryd-north-1 '{"row":"slow"}'
before=$(runs)
set_switch service-1 run_ms=2200
book "$work/slow" entryd-north-1 '{"row":"slow"}'
expect_equal "service beyond the timeout" "504 unknown" "$(cat "$work/slow")"
expect_until "result of a slow run by its ticket" \
	booked_as entryd-north-2 '{"row":"slow"}' 200 completed
expect_equal "runs of a slow booking" 1 $(($(runs) - before))
set_switch service-1 run_ms=0

# The service runs and resets the connection: unknown for ever, no second run.
get_ticket entryd-north-1 '{"row":"break"}'
before=$(runs)
set_switch service-1 break_next=1
book "$work/break" entryd-north-1 '{"row":"break"}'
expect_equal "service that crashes after the run" "504 unknown" \
	"$(cat "$work/break")"
book "$work/break" entryd-north-1 '{"row":"break"}'
expect_equal "the same ticket after the crash" "504 unknown" \
	"$(cat "$work/break")"
expect_equal "runs of a booking without an answer" 1 $(($(runs) - before))

# Connection refused: nobody listens behind the endpoint's address.
get_ticket entryd-north-1 '{"row":"refused connection"}'
before=$(runs)
relay_address=${address[to-service]}
stop_program to-service KILL
book "$work/gone" entryd-north-1 '{"row":"refused connection"}'
expect_equal "connection refused" "503 not-run" "$(cat "$work/gone")"
pass_or_fail "Retry-After after a refused connection" \
	grep -qi '^Retry-After: [1-9]' "$work/gone.headers"
expect_equal "runs after a refused connection" 0 $(($(runs) - before))
start_relay to-service "${address[service-1]}" --listen="$relay_address"
expect_until "the ticket is spendable again" \
	booked_as entryd-north-1 '{"row":"refused connection"}' 200 completed
expect_equal "runs of the ticket spent later" 1 $(($(runs) - before))

# Faults of the table. heal undoes them all.
kill_dispatcher()
{
	stop_program dispatchd-north-1 KILL
}

freeze_dispatcher()
{
	kill -STOP "${pid[dispatchd-north-1]}"
}

kill_entry()
{
	stop_program entryd-north-1 KILL
}

cut_service()
{
	set_switch to-service drop=1
}

lose_requests()
{
	set_switch to-service blackhole_up=1
}

lose_answers()
{
	set_switch to-service blackhole_down=1
}

cut_entry()
{
	set_switch to-dispatchd drop=1
}

lose_submits()
{
	set_switch to-dispatchd blackhole_up=1
}

lose_ends()
{
	set_switch to-dispatchd blackhole_down=1
}

crash_service()
{
	set_switch service-1 crash=1
}

no_fault()
{
	:
}

heal()
{
	local name relay
	for name in dispatchd entryd
	do
		if test -z "${pid[$name-north-1]:-}"
		then
			"start_$name" north 1
		fi
	done
	kill -CONT "${pid[dispatchd-north-1]}"
	for relay in to-service to-dispatchd
	do
		set_switch $relay "drop=0&blackhole_up=0&blackhole_down=0"
	done
}

# run_row PHASE FAULT FAULT ANSWERS AGAIN: one booking with both faults, either
# before it is sent or while it runs. ANSWERS and AGAIN are patterns of the
# outcomes allowed at once and for the same ticket after healing.
run_row()
{
	local phase=$1 first=$2 second=$3 answers=$4 again=$5 first_runs
	local what="$phase: $first, $second" body="{\"row\":\"$*\"}" caller
	heal
	# A service whose connection broke is used again after a while.
	wait_until 15 answered_as 200 call_service entryd-north-1 \
		claim_status "{\"before\":\"$*\",\"at\":$EPOCHREALTIME}"
	get_ticket entryd-north-1 "$body"
	before=$(runs)
	if test "$phase" = running
	then
		set_switch service-1 run_ms=500
		book "$work/row" entryd-north-1 "$body" &
		caller=$!
		wait_until 10 stat_is service-1 in_flight 1 ||
			failures=$((failures + 1))
		$first
		$second
	else
		$first
		$second
		book "$work/row" entryd-north-1 "$body" &
		caller=$!
	fi
	wait $caller
	wait_until 10 stat_is service-1 in_flight 0
	set_switch service-1 run_ms=0
	heal
	wait_until 10 dispatch_is_idle
	first_runs=$(($(runs) - before))
	pass_or_fail "$what: answer $(cat "$work/row")" \
		grep -Eqx "$answers" "$work/row"
	grep -q not-run "$work/row" &&
		expect_equal "$what: runs of what was not run" 0 $first_runs
	wait_until 10 booked_again "$body"
	pass_or_fail "$what: asked again $(cat "$work/again")" \
		grep -Eqx "$again" "$work/again"
	pass_or_fail "$what: at most one run" test $(($(runs) - before)) -le 1
}

# booked_again BODY: a condition: the issuer can be reached and answers.
booked_again()
{
	book "$work/again" entryd-north-2 "$1"
	! grep -q "can't be reached\|connection broke" "$work/again.body"
}

unknown='504 unknown'
done='200 completed'
run_row before kill_dispatcher no_fault "$unknown" "$unknown"
run_row before freeze_dispatcher no_fault "$unknown" "$unknown|$done"
run_row before lose_submits freeze_dispatcher "$unknown" "$unknown|$done"
run_row before lose_requests lose_ends "$unknown" "$unknown|$done"
run_row before cut_service cut_entry "$unknown|503 not-run" "$unknown|$done"
run_row running kill_dispatcher no_fault "$unknown" "$unknown"
run_row running freeze_dispatcher no_fault "$unknown" "$done|$unknown"
run_row running kill_dispatcher kill_entry "000 |$unknown" "$unknown"
run_row running freeze_dispatcher kill_entry "000 " "$done|$unknown"
run_row running cut_service freeze_dispatcher "$unknown" "$unknown"
run_row running lose_answers cut_entry "$unknown" "$unknown|$done"
run_row running cut_service cut_entry "$unknown" "$unknown"
run_row running crash_service lose_ends "$unknown" "$unknown"
run_row running kill_entry cut_entry "000 " "$done"

# A booking that ended before its dispatcher did.
heal
get_ticket entryd-north-1 '{"row":"after"}'
before=$(runs)
book "$work/after" entryd-north-1 '{"row":"after"}'
expect_equal "booking before the kill" "$done" "$(cat "$work/after")"
kill_dispatcher
book "$work/after" entryd-north-1 '{"row":"after"}'
expect_equal "ticket of a dispatcher killed after the run" "$unknown" \
	"$(cat "$work/after")"
heal
wait_until 10 booked_again '{"row":"after"}'
expect_equal "ticket of an earlier process on the address" "$unknown" \
	"$(cat "$work/again")"
expect_equal "runs before and after the kill" 1 $(($(runs) - before))
expect_equal "most runs of one booking" 1 "$(get_stat service-1 max_runs)"
finish
