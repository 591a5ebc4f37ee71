#!/bin/bash
# Usage: test_standins.sh BUILD_DIR
# Contract of the stand-ins. Other tests judge the daemons by the counters and
# faults of the stand-ins, so a stand-in that miscounts would hide their faults.
set -u

build=$1
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=tests/session/lib.sh
. "$here/lib.sh"

# chat NAME FIELDS: posts a chat request to the engine NAME.
chat()
{
	local name=$1
	shift
	http_status "http://${address[$name]}/v1/chat/completions" -d \
		"{\"messages\":[{\"role\":\"user\",\"content\":\"bear\"}],$1}"
}

# start_chat NAME ID FIELDS: the same in the background, answer in $work/ID.
start_chat()
{
	curl -s -m 20 -N -o "$work/$2" -w '%{http_code}' \
		"http://${address[$1]}/v1/chat/completions" -d \
		"{\"messages\":[{\"content\":\"bear\"}],
		\"request_id\":\"$2\",$3}" >"$work/$2.status" &
	pid[curl-$2]=$!
}

# expect_chat WHAT ID STATUS: waits for it and checks the status.
expect_chat()
{
	wait "${pid[curl-$2]}"
	unset "pid[curl-$2]"
	expect_equal "$1" "$3" "$(cat "$work/$2.status")"
}

# Without this, a lost or foreign token would go unnoticed by other tests.
check_engine_answers()
{
	start_program engine "$build/standins/fake-engine" --token-us=1000 \
		--max-running=2 --max-waiting=1 --prefill-ms=5
	expect_equal "whole answer" 200 \
		"$(chat engine '"request_id":"a","x_output_tokens":5')"
	expect_equal "recomputed text" "$(expected_answer bear 5)" \
		"$(stream_text "$work/body")"
	expect_equal "stream" 200 "$(chat engine \
		'"request_id":"b","x_output_tokens":3,"stream":true')"
	compare_golden "stream events" "$here/golden/engine-stream.txt" \
		"$work/body"
	chat engine '"x_output_tokens":9,"max_tokens":2' >"$work/status"
	expect_equal "bound by max_tokens" "$(expected_answer bear 2)" \
		"$(stream_text "$work/body")"
	expect_equal "length by prompt" 200 "$(chat engine '"stream":false')"
	expect_equal "tokens counted" \
		$((10 + $(grep -o 'w[0-9a-f]\{6\}' "$work/body" | wc -l))) \
		"$(get_stat engine tokens)"
	expect_equal "cached prefix" 3 "$(get_stat engine cache_hits)"
	expect_equal "not valid" 400 "$(chat engine '"max_tokens":-1')"
}

# takes_ms WHAT MS COMMAND...: checks that the command takes at least MS.
takes_ms()
{
	local what=$1 least=$2 start
	shift 2
	start=$(date +%s%3N)
	"$@" >"$work/status"
	pass_or_fail "$what" test $(($(date +%s%3N) - start)) -ge "$least"
}

# Guards the modelled times; only lower bounds hold on a busy machine.
check_engine_times()
{
	local five='"x_output_tokens":5'
	set_switch engine 'prefill_ms=0&token_us=25000'
	takes_ms "time between tokens" 100 chat engine "$five"
	set_switch engine slow_percent=200
	takes_ms "slow_percent" 200 chat engine "$five"
	set_switch engine 'slow_percent=100&token_us=2500&cold=600000'
	takes_ms "cold is slower" 100 chat engine "$five"
	set_switch engine 'cold=0&token_us=0&prefill_ms=100&cached_percent=100'
	takes_ms "prefill" 100 chat engine "$five"
	set_switch engine 'prefill_ms=5&delay_ms=100'
	takes_ms "delay_ms" 100 chat engine "$five"
	set_switch engine 'delay_ms=0&cached_percent=20'
	expect_equal "no violation when alone" 0 \
		"$(get_stat engine cold_violations)"
}

# Guards the refusals by which the dispatchers learn the engine's limits.
check_engine_batching()
{
	local slow='"x_output_tokens":300,"priority":3' id
	set_switch engine token_us=20000
	start_chat engine r1 "$slow"
	start_chat engine r2 "$slow"
	expect_until "two running" stat_is engine running 2
	start_chat engine r3 "$slow"
	expect_until "one waiting" stat_is engine waiting 1
	expect_equal "refused when full" 503 "$(chat engine '"stream":true')"
	pass_or_fail "X-Refused" grep -qi '^X-Refused: 1' "$work/headers"
	set_switch engine max_waiting=2
	start_chat engine r4 '"x_output_tokens":1,"priority":0'
	expect_until "both waiting" stat_is engine waiting 2
	expect_equal "cancel" 200 "$(http_status -X DELETE \
		"http://${address[engine]}/v1/streams/r1")"
	expect_chat "cancelled answer" r1 500
	expect_chat "higher priority first" r4 200
	set_switch engine 'token_us=100&growth_us=0'
	for id in r2 r3
	do
		expect_chat "$id ends" "$id" 200
	done
	expect_equal "peak running" 2 "$(get_stat engine peak_running)"
	expect_equal "refusals" 1 "$(get_stat engine refused)"
	set_switch engine refuse_next=1
	expect_equal "refuse_next" 503 "$(chat engine '"stream":true')"
	set_switch engine leaving=1
	expect_equal "leaving refuses" 503 "$(chat engine '"stream":true')"
	set_switch engine leaving=0
	set_switch engine fail_next=1
	expect_equal "fail_next" 500 "$(chat engine '"request_id":"f"')"
	expect_equal "failed run counted" 1 "$(get_stat engine f)"
}

# Guards resume and cancel, on which answers without loss depend.
check_engine_streams()
{
	set_switch engine 'token_us=2000&break_after=4'
	chat engine '"request_id":"s","x_output_tokens":9,"stream":true' \
		>"$work/status"
	expect_equal "broken after 4" 4 "$(grep -c '^id:' "$work/body")"
	mv "$work/body" "$work/first"
	http_status "http://${address[engine]}/v1/streams/s?offset=4" \
		>"$work/status"
	expect_equal "resumed whole" "$(expected_answer bear 9)" \
		"$(cat "$work/first" "$work/body" | stream_text -)"
	expect_equal "last event" "id: 9data: [DONE]" \
		"$(grep . "$work/body" | tail -2 | tr -d '\n')"
	expect_equal "unknown stream" 404 \
		"$(http_status "http://${address[engine]}/v1/streams/none")"
	expect_equal "offset too high" 416 \
		"$(http_status "http://${address[engine]}/v1/streams/s?offset=99")"
	chat engine '"request_id":"t","x_output_tokens":9000,"timeout_ms":60' \
		>"$work/status"
	expect_equal "engine's own timeout" 504 "$(cat "$work/status")"
	chat engine '"x_output_tokens":9000,"timeout_ms":60,"stream":true' \
		>"$work/status"
	pass_or_fail "timeout in stream" grep -q timeout "$work/body"
	set_switch engine grace_ms=50
	start_chat engine g '"x_output_tokens":90000,"stream":true'
	expect_until "is running" stat_is engine running 1
	stop_program curl-g KILL
	expect_until "cancelled after grace" stat_is engine cancelled 2
	expect_equal "ended by timeout" 2 "$(get_stat engine timed_out)"
}

# Guards the evidence for P3: violations must be seen, and only violations.
check_engine_cold()
{
	set_switch engine 'cold_limit=1&max_running=4&cold=600000'
	set_switch engine 'token_us=1000&grace_ms=5000'
	expect_equal "cold" cold "$(get_stat engine state)"
	start_chat engine c1 '"x_output_tokens":9000'
	expect_until "c1 running" stat_is engine running 1
	expect_equal "no violation" 0 "$(get_stat engine cold_violations)"
	start_chat engine c2 '"x_output_tokens":9000'
	expect_until "violation" stat_is engine cold_violations 1
	expect_equal "peak cold" 2 "$(get_stat engine peak_cold)"
	set_switch engine 'cold_notice_ms=600000&cold=600000'
	start_chat engine c3 '"x_output_tokens":9000'
	expect_until "within notice" stat_is engine cold_unnoticed 1
	expect_equal "not a violation" 1 "$(get_stat engine cold_violations)"
	local boot
	boot=$(get_stat engine boot)
	set_switch engine restart=1
	expect_chat "restart breaks c1" c1 000
	expect_chat "restart breaks c2" c2 000
	expect_chat "restart breaks c3" c3 000
	pass_or_fail "new boot id" test "$boot" != "$(get_stat engine boot)"
	expect_equal "nothing runs" 0 "$(get_stat engine running)"
	set_switch engine cold=0
}

load_has()
{
	curl -s "http://${address[engine]}/v1/load" >"$work/load"
	grep -q "$1" "$work/load"
}

# Guards the load lag and fencing that the dispatchers have to survive.
check_engine_reports()
{
	local url="http://${address[engine]}/v1/orders"
	pass_or_fail "load" load_has '"state":"warm","running":0,"waiting":0,"age_ms":0}'
	set_switch engine load_lag_ms=300
	expect_until "aged report" load_has '"age_ms":3[0-9][0-9]}'
	set_switch engine 'load_lag_ms=600000&leaving=1'
	pass_or_fail "report lags" load_has '"state":"warm"'
	set_switch engine load_lag_ms=0
	pass_or_fail "report without lag" load_has '"state":"leaving"'
	set_switch engine leaving=0
	expect_equal "order" 200 "$(http_status "$url" \
		-d '{"fence":7,"order":"load","model":"m"}')"
	expect_equal "older order ignored fence" 200 "$(http_status "$url" \
		-d '{"fence":6,"order":"load","model":"n"}')"
	expect_equal "older order seen" 1 \
		"$(get_stat engine older_orders_applied)"
	set_switch engine check_fence=1
	expect_equal "older order refused" 409 "$(http_status "$url" \
		-d '{"fence":6,"order":"load","model":"o"}')"
	expect_equal "last model" n "$(get_stat engine last_model)"
	set_switch engine hang=1
	expect_equal "hang" 000 "$(http_status -m 0.2 \
		"http://${address[engine]}/v1/load")"
	set_switch engine 'hang=0&down=1'
	expect_equal "down" 000 "$(http_status "http://${address[engine]}/v1/load")"
	set_switch engine down=0
	expect_equal "unknown key" 22 "$(set_switch engine nosuch=1; echo $?)"
	start_chat engine open '"x_output_tokens":90000,"stream":true'
	expect_until "stream open" stat_is engine running 1
	pass_or_fail "engine ends with 0" stop_program engine
	wait "${pid[curl-open]}"
	unset "pid[curl-open]"
}

# Guards the count of runs, the evidence for P6 and P7.
check_service()
{
	start_program service "$build/standins/fake-service"
	local url="http://${address[service]}/book"
	expect_equal "call" 200 "$(http_status "$url" \
		-H 'Idempotency-Key: k1' -d 'a "b"')"
	expect_equal "answer" \
		'{"run":1,"key_run":1,"call":"book","body":"a \"b\""}' \
		"$(cat "$work/body")"
	http_status "$url" -H 'Idempotency-Key: k1' -d x >"$work/status"
	expect_equal "no deduplication" 2 "$(get_stat service k1)"
	set_switch service break_next=1
	expect_equal "answer lost" 000 "$(http_status "$url" -d y)"
	expect_equal "but run" 3 "$(get_stat service total_runs)"
	set_switch service fail_next=1
	expect_equal "failed" 500 "$(http_status "$url" -d z)"
	expect_equal "most runs of a key" 2 "$(get_stat service max_runs)"
	set_switch service run_ms=20000
	curl -s "$url" -d long >"$work/long" &
	pid[curl-long]=$!
	expect_until "in flight" stat_is service in_flight 1
	set_switch service crash=1
	wait "${pid[curl-long]}"
	pass_or_fail "crash drops it" test $? -ne 0
	unset "pid[curl-long]"
	pass_or_fail "service ends with 0" stop_program service
}

put_value()
{
	curl -s "http://${control[platform]}/control/put?key=$1" \
		-H Expect: --data-binary "$2" >"$work/put"
}

# Guards versions, watches and the outage faults of the platform.
check_platform()
{
	start_program platform "$build/standins/fake-platform"
	local url="http://${address[platform]}/v1/values"
	put_value sheet/root one
	expect_equal "read" 200 "$(http_status "$url/sheet/root")"
	expect_equal "value" one "$(cat "$work/body")"
	pass_or_fail "X-Version" grep -qi '^X-Version: 1' "$work/headers"
	expect_equal "missing" 404 "$(http_status "$url/none")"
	expect_equal "end of wait" 304 \
		"$(http_status "$url/sheet/root?after=1&wait_ms=30")"
	curl -s "$url/sheet/root?after=1&wait_ms=20000" >"$work/watch" &
	pid[curl-watch]=$!
	expect_until "watch waits" stat_is platform waiting 1
	put_value sheet/root two
	wait "${pid[curl-watch]}"
	unset "pid[curl-watch]"
	expect_equal "watch" two "$(cat "$work/watch")"
	expect_equal "reads" 2 "$(get_stat platform reads)"
	expect_equal "watches" 2 "$(get_stat platform watches)"
	expect_equal "bytes" 6 "$(get_stat platform bytes)"
	set_switch platform stale=1
	http_status "$url/sheet/root" >"$work/status"
	expect_equal "stale" one "$(cat "$work/body")"
	set_switch platform 'stale=-1&lag_ms=600000'
	expect_equal "lag" 404 "$(http_status "$url/sheet/root")"
	set_switch platform 'lag_ms=0&outage=1'
	expect_equal "outage" 503 "$(http_status "$url/sheet/root")"
	set_switch platform outage=2
	expect_equal "closed" 000 "$(http_status "$url/sheet/root")"
	set_switch platform outage=0
	curl -s -o "$work/watch" -w '%{http_code}' \
		"$url/sheet/root?after=2&wait_ms=20000" >"$work/watch.status" &
	pid[curl-outage]=$!
	expect_until "waits" stat_is platform waiting 1
	set_switch platform outage=1
	wait "${pid[curl-outage]}"
	unset "pid[curl-outage]"
	expect_equal "outage ends a watch" 503 "$(cat "$work/watch.status")"
	set_switch platform outage=0
	head -c 1048576 /dev/zero >"$work/large"
	put_value large "@$work/large"
	expect_equal "1 MiB" 200 "$(http_status "$url/large")"
	pass_or_fail "1 MiB whole" cmp "$work/large" "$work/body"
	echo >>"$work/large"
	put_value large "@$work/large"
	expect_equal "above 1 MiB" '{"version":0}' "$(cat "$work/put")"
}

# Guards the network faults; a relay that leaks bytes would void partitions.
check_relay()
{
	start_program relay "$build/standins/tcp-relay" \
		--to="${address[platform]}"
	local url="http://${address[relay]}/v1/values/sheet/root" start
	expect_equal "forwards" 200 "$(http_status "$url")"
	set_switch relay 'delay_up_ms=100&delay_down_ms=100'
	start=$(date +%s%3N)
	expect_equal "delayed" 200 "$(http_status "$url")"
	pass_or_fail "by 200 ms" test $(($(date +%s%3N) - start)) -ge 200
	set_switch relay 'delay_up_ms=0&delay_down_ms=0'
	curl -s "$url?after=2&wait_ms=20000" >"$work/watch" &
	pid[curl-hole]=$!
	expect_until "watch through relay" stat_is platform waiting 1
	set_switch relay blackhole_down=1
	put_value sheet/root three
	expect_until "answered by the platform" stat_is platform waiting 0
	expect_equal "new connection held" 000 "$(http_status -m 0.2 "$url")"
	expect_equal "nothing came" "" "$(cat "$work/watch")"
	set_switch relay blackhole_down=0
	wait "${pid[curl-hole]}"
	unset "pid[curl-hole]"
	expect_equal "delivered afterwards" three "$(cat "$work/watch")"
	set_switch relay blackhole_up=1
	start=$(get_stat platform received)
	expect_equal "nothing forwarded" 000 "$(http_status -m 0.2 "$url")"
	expect_equal "nothing arrived" "$start" "$(get_stat platform received)"
	set_switch relay blackhole_up=0
	curl -s "$url?after=9999&wait_ms=20000" >"$work/watch" &
	pid[curl-drop]=$!
	expect_until "second watch" stat_is platform waiting 1
	set_switch relay drop=1
	wait "${pid[curl-drop]}"
	pass_or_fail "drop resets" test $? -ne 0
	unset "pid[curl-drop]"
	curl -s "$url" >"$work/refused"
	expect_equal "connection refused" 7 $?
	set_switch relay drop=0
	expect_until "listens again" test 200 = "$(curl -s --retry 20 \
		--retry-connrefused -o "$work/body" -w '%{http_code}' "$url")"
	pass_or_fail "relay ends with 0" stop_program relay
	pass_or_fail "platform ends with 0" stop_program platform
}

check_engine_answers
check_engine_times
check_engine_batching
check_engine_streams
check_engine_cold
check_engine_reports
check_service
check_platform
check_relay
finish
