#!/bin/bash
# Streams end whole or say that they failed, and "not run" stays true, when the
# engine, the dispatcher or the link between the daemons is lost.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
start_engine engine-1 --token-us=10000
start_relay to-engine "${address[engine-1]}"
endpoint_address[engine-1]=${address[to-engine]}
for i in 1 2
do
	start_relay "to-dispatchd-$i" "$(listen_address north $i)"
	relayed[north-$i]=${address[to-dispatchd-$i]}
done
endpoint_domain=([engine-1]=north)
endpoint_kind=([engine-1]=model)
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_dispatchd north 1
start_dispatchd north 2
start_entryd north 1

# has_requests INDEX: a condition: the dispatcher has a request.
has_requests()
{
	status_of "dispatchd-north-$1" | grep -q '"requests":[1-9]'
}

# begin_stream PROMPT: starts a stream of 150 tokens, sets "caller" to the
# process and "sender" to the index of the dispatcher that sent it.
begin_stream()
{
	local made
	expect_until "a request is served before $1" \
		answered_as 200 ask entryd-north-1 chat "before $1" 5 false
	made=$(get_stat engine-1 tokens)
	ask entryd-north-1 match_report "$1" 150 true >"$work/status" &
	caller=$!
	expect_until "$1 has begun" stat_above engine-1 tokens $((made + 20))
	sender=1
	has_requests 1 || sender=2
}

begin_stream "lost dispatcher"
stop_program "dispatchd-north-$sender" KILL
wait "$caller"
expect_equal "text after a lost dispatcher" \
	"$(expected_answer "lost dispatcher" 150)" "$(stream_text "$work/body")"
expect_equal "end after a lost dispatcher" "data: [DONE]" \
	"$(grep . "$work/body" | tail -1)"
start_dispatchd north "$sender"

begin_stream "cut link"
set_switch "to-dispatchd-$sender" drop=1
wait "$caller"
expect_equal "text after a cut link" "$(expected_answer "cut link" 150)" \
	"$(stream_text "$work/body")"
expect_equal "end after a cut link" "data: [DONE]" \
	"$(grep . "$work/body" | tail -1)"
set_switch "to-dispatchd-$sender" drop=0

# The engine no longer has the stream when another dispatcher asks for it: its
# 404 must not end the answer as a whole one.
begin_stream "lost stream"
kill -STOP "${pid[dispatchd-north-$sender]}"
set_switch engine-1 restart=1
stop_program "dispatchd-north-$sender" KILL
wait "$caller"
pass_or_fail "a lost stream ends with an error" \
	grep -q '"outcome":"failed"' "$work/body"
pass_or_fail "a lost stream has no [DONE]" \
	test -z "$(grep -F '[DONE]' "$work/body")"
start_dispatchd north "$sender"

# The dispatcher keeps the connection of its last load report. A request sent
# over it would be repeated by the HTTP library when the engine dies, and the
# refused second attempt would hide that the first one may have run.
stop_program dispatchd-north-2
expect_until "a request is served before the engine dies" \
	answered_as 200 ask entryd-north-1 chat "before" 5 false
expect_until "the load is asked for after the answer" \
	stat_above to-engine bytes_up "$(get_stat to-engine bytes_up)"
set_switch engine-1 prefill_ms=5000
ask entryd-north-1 chat "held request" 5 false >"$work/status" &
caller=$!
expect_until "the engine holds the request" stat_is engine-1 running 1
set_switch to-engine drop=1
wait "$caller"
expect_equal "outcome when the engine dies" unknown \
	"$(header X-Peridot-Outcome)"
finish
