#!/bin/bash
# Usage: test_crashing_input_native.sh BUILD_DIR
# The project's own interface, a plain service with six endpoints, and a caller
# that repeats one call that crashes each endpoint that begins to answer it.
# Guards against one call without a prompt taking down one endpoint after the
# other, also by a host's own repeats, and against refusing other calls of the
# class.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

standin=$(dirname "$0")/../standins/platform.py
domains=(north)
hosts_per_domain=1
contact_s=4
max_late_sends=3
crashing='{"claim":"crash"}'
for n in 1 2 3 4 5 6
do
	start_program service-$n python3 "$standin" native \
		"$net.$((100 + n)):8000" service-$n
	endpoint_domain[service-$n]=north
	endpoint_kind[service-$n]=service
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
wait_until 10 responds_with 200 call_service north-1 claim_status '{}'
for n in 1 2 3 4 5 6
do
	curl -sS -m 5 -G --data-urlencode "body=$crashing" --data how=head \
		"http://${address[service-$n]}/control/crash"
done

crash_sends()
{
	cat "$work"/service-?.out | grep -c '^crash'
}

# send_crashing COUNT: sends the call this many times; prints the status of each.
send_crashing()
{
	local i
	for i in $(seq "$1")
	do
		call_service north-1 claim_status "$crashing"
		echo
		sleep 0.3
	done
}

send_crashing 1 >"$work/once"
pass_or_fail "one call crashes two endpoints at most ($(crash_sends))" \
	test "$(crash_sends)" -le 2
for i in $(seq 20)
do
	test "$(crash_sends)" -ge 5 && break
	send_crashing 1
done >"$work/first"
pass_or_fail "the call crashes endpoints" test "$(crash_sends)" -ge 4
sleep $contact_s
before=$(crash_sends)
send_crashing 12 >"$work/late"
late=$(($(crash_sends) - before))
pass_or_fail "$late calls reach endpoints after $contact_s s, $max_late_sends at most" \
	test $late -le $max_late_sends
status_of north-1 >"$work/status"
pass_or_fail "the status shows the block" grep -q \
	'"blocks":\[{"crashes":[0-9]*,"inputs":\["[0-9a-f]*"\]' "$work/status"
pass_or_fail "another call is served" \
	responds_with 200 call_service north-1 claim_status '{"claim":"sound"}'
finish
