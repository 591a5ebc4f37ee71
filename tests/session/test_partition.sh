#!/bin/bash
# Usage: test_partition.sh BUILD_DIR
# Cut links, killed and frozen dispatchers. Guards P5 and P6 and the honesty of
# outcomes: an answer that says "not run" for a request that ran, a lost or
# repeated token, and work sent by a process that acts on stale state.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

# run_one ID ENTRY TOKENS: one stream with a prompt of its own, its answer in
# $work/ID and its status in $work/ID.code.
run_one()
{
	curl -sN -m 30 -o "$work/$1" -D "$work/$1.headers" -w '%{http_code}' \
		-H "Authorization: Bearer $customer_key" \
		-H "X-Peridot-Class: chat" -d \
		"{\"model\":\"bear\",\"stream\":true,\"x_output_tokens\":$3,\"messages\":[{\"role\":\"user\",\"content\":\"prompt $1\"}]}" \
		"http://${address[$2]}/v1/chat/completions" >"$work/$1.code"
}

# start_streams PREFIX ENTRY COUNT TOKENS: streams in the background.
start_streams()
{
	local i
	for i in $(seq "$3")
	do
		run_one "$1-$i" "$2" "$4" &
		pid[stream-$1-$i]=$!
	done
}

# have_begun PREFIX COUNT: a condition: that many streams have tokens.
have_begun()
{
	test "$(grep -l '^id: 2$' "$work/$1"-* 2>"$work/grep.err" | wc -l)" \
		-ge "$2"
}

join_streams()
{
	local i
	for i in $(seq "$2")
	do
		wait "${pid[stream-$1-$i]}"
		unset "pid[stream-$1-$i]"
	done
}

# runs_of PROMPT: how often the engines list a run of it; a run is listed under
# its first token.
runs_of()
{
	local name
	for name in "${engines[@]}"
	do
		curl -s "http://${control[$name]}/control/stats"
	done | grep -o "\"key\":\"$(expected_answer "$1" 1)\",\"path\":\"run\"" |
		wc -l
}

# expect_whole WHAT PREFIX COUNT TOKENS: checks that every stream is complete
# and in order, with each token once.
expect_whole()
{
	local i name wrong=0
	for i in $(seq "$3")
	do
		name=$work/$2-$i
		if test "$(stream_text "$name")" != \
			"$(expected_answer "prompt $2-$i" "$4")" ||
			test "$(grep . "$name" | tail -1)" != "data: [DONE]" ||
			test "$(grep -c '^id:' "$name")" != "$4"
		then
			wrong=$((wrong + 1))
			echo "$2-$i: $(cat "$name.code") $(grep -v '^id\|content\|^$' "$name" | tail -c 300)"
		fi
	done
	expect_equal "$1: answers not whole of $3" 0 $wrong
}

# expect_honest WHAT PREFIX COUNT TOKENS: checks each answer against the engines:
# whole if it ends as such, a part of the text if it broke off, and no run if it
# says so.
expect_honest()
{
	local i name text false_claims=0
	for i in $(seq "$3")
	do
		name=$work/$2-$i
		text=$(stream_text "$name")
		if grep -q '^data: \[DONE\]' "$name"
		then
			test "$text" = "$(expected_answer "prompt $2-$i" "$4")" ||
				false_claims=$((false_claims + 1))
		elif grep -qi '^X-Peridot-Outcome: not-run' "$name.headers"
		then
			test "$(runs_of "prompt $2-$i")" = 0 ||
				false_claims=$((false_claims + 1))
		elif test -n "$text"
		then
			case "$(expected_answer "prompt $2-$i" "$4")" in
			"$text"*) ;;
			*) false_claims=$((false_claims + 1)) ;;
			esac
		fi
	done
	expect_equal "$1: false outcomes of $3" 0 $false_claims
}

metric()
{
	"${curl_base[@]}" -H "Authorization: Bearer $operator_key" \
		"http://${control[$1]}/metrics" |
		awk -v name="$2" 'index($1, name) == 1 {sum += $2}
			END {print sum + 0}'
}

metric_above()
{
	test "$(metric "$1" "$2")" -gt "$3"
}

sends()
{
	metric "$1" peridot_endpoint_sends_total
}

# is_silent NAME DOMAIN INDEX: a condition: the daemon holds the host as dead.
is_silent()
{
	status_of "$1" | grep -o '{[^{}]*"host":"'"$2-$3"'"[^{}]*' |
		grep -q '"live":false'
}

is_live()
{
	status_of "$1" | grep -o '{[^{}]*"host":"'"$2-$3"'"[^{}]*' |
		grep -q '"live":true'
}

# owner_in_north: the index of the northern host that owns engine-1.
owner_in_north()
{
	local i
	for i in 1 2
	do
		status_of dispatchd-north-$i | grep -o '{[^{}]*"name":"engine-1"[^{}]*' |
			grep -q '"owned":true' && echo $i
	done
}

is_owner()
{
	test "$(owner_in_north)" = "$1"
}

has_one_owner()
{
	test "$(owner_in_north | wc -l)" = 1
}

# cut_relay NAME 0|1: blackholes a relay in both directions.
cut_relay()
{
	set_switch "$1" "blackhole_up=$2&blackhole_down=$2"
}

# cut_south 0|1: cuts the south's dispatcher from the north both ways.
cut_south()
{
	cut_relay relay-south "$1"
	set_switch relay-north "blackhole_marked=$1"
	set_switch relay-north-1 "blackhole_marked=$1"
}

check_domain_cut()
{
	cut_south 1
	expect_until "the entry notices the cut" \
		is_silent entryd-north-1 south 1
	start_streams cut entryd-north-1 4 20
	join_streams cut 4
	expect_whole "domain cut off" cut 4 20
	sheet_version=2 chat_timeout_ms=29000
	write_sheet "$work/sheet-2.toml"
	expect_equal "sheet for one side" 200 \
		"$(push_sheet dispatchd-north-1 "$work/sheet-2.toml")"
	sheet_version=3 chat_timeout_ms=31000
	write_sheet "$work/sheet-3.toml"
	expect_equal "sheet for the other side" 200 \
		"$(push_sheet dispatchd-south-1 "$work/sheet-3.toml")"
	expect_until "one side has its sheet" has_sheet entryd-north-1 2
	expect_until "the other side has its sheet" \
		has_sheet dispatchd-south-1 3
	cut_south 0
	for name in dispatchd-north-1 dispatchd-north-2 dispatchd-south-1 \
		entryd-north-1
	do
		expect_until "healed: the higher version at $name" \
			has_sheet "$name" 3
	done
	expect_until "the entry sees the south again" \
		is_live entryd-north-1 south 1
}

# Streams whose dispatcher is cut off from the entry go on elsewhere.
check_killed()
{
	local owner
	expect_until "one owner" has_one_owner
	owner=$(owner_in_north)
	start_streams kill entryd-north-1 4 120
	expect_until "streams have begun" have_begun kill 4
	stop_program "dispatchd-north-$owner" KILL
	join_streams kill 4
	expect_whole "dispatcher killed" kill 4 120
	expect_honest "dispatcher killed" kill 4 120
	start_behind_relay north "$owner" "$net.112:7100"
	expect_until "the host is live again" \
		is_live entryd-north-1 north "$owner"
	expect_until "one owner again" has_one_owner
}

check_frozen()
{
	local owner name before
	owner=$(owner_in_north)
	name=dispatchd-north-$owner
	start_streams frozen entryd-north-1 4 250
	expect_until "streams have begun" have_begun frozen 4
	kill -STOP "${pid[$name]}"
	expect_until "the entry notices the silence" \
		is_silent entryd-north-1 north "$owner"
	start_streams other entryd-north-1 4 20
	join_streams other 4
	expect_whole "during a freeze" other 4 20
	join_streams frozen 4
	expect_whole "dispatcher frozen" frozen 4 250
	kill -CONT "${pid[$name]}"
	expect_until "the pause is detected" metric_above "$name" \
		peridot_pauses_total 0
	expect_until "one owner after the freeze" has_one_owner
}

# Requests that wait in a frozen dispatcher are not sent on old beliefs.
check_frozen_queue()
{
	local owner name i
	owner=$(owner_in_north)
	name=dispatchd-north-$owner
	start_streams waking entryd-north-1 3 250
	expect_until "streams have begun" have_begun waking 3
	kill -STOP "${pid[$name]}"
	start_streams queued entryd-north-1 6 20
	expect_until "the silence is noticed" \
		is_silent entryd-north-1 north "$owner"
	kill -CONT "${pid[$name]}"
	join_streams queued 6
	expect_honest "asked while frozen" queued 6 20
	join_streams waking 3
	expect_whole "woken dispatcher" waking 3 250
	expect_until "the second pause is detected" metric_above "$name" \
		peridot_pauses_total 1
	expect_until "the host is live again" \
		is_live entryd-north-1 north "$owner"
	expect_until "one owner after the second freeze" has_one_owner
	for i in $(seq 6)
	do
		runs_of "prompt queued-$i"
	done | sort -n | tail -1 >"$work/most"
	pass_or_fail "most runs of one request" test "$(cat "$work/most")" -le 2
	expect_honest "after waking" queued 6 20
}

# The entry is cut off from the dispatcher of its streams, which lives on and
# must not cancel what another dispatcher has resumed.
check_entry_cut()
{
	expect_until "north-2 is the owner" is_owner 2
	start_streams entry entryd-north-1 3 150
	expect_until "streams have begun" have_begun entry 3
	set_switch relay-north drop=1
	expect_until "the links break" stat_above relay-north dropped 0
	join_streams entry 3
	expect_whole "entry cut off from a dispatcher" entry 3 150
	set_switch relay-north drop=0
	expect_until "the link is back" is_live entryd-north-1 north 2
	expect_until "the owner is back" is_owner 2
}

# offers_nothing NAME HOST: a condition: the host announces no pool.
offers_nothing()
{
	status_of "$1" | grep -q \
		"\"host\":\"$2\",\"leaving\":false,\"live\":true,\"pools\":\[\]"
}

# The dispatcher is cut off from the engine in the middle of streams.
check_engine_cut()
{
	local i
	start_streams engine entryd-north-1 3 150
	expect_until "streams have begun" have_begun engine 3
	set_switch relay-engine drop=1
	expect_until "the relay resets" stat_above relay-engine dropped 0
	join_streams engine 3
	expect_honest "engine cut off" engine 3 150
	# Without a retry token the first refusal is final, until the dispatchers
	# have noticed and the entry does not choose them any more.
	for i in 1 2
	do
		expect_until "north-$i does not offer the engine" \
			offers_nothing entryd-north-1 "north-$i"
	done
	start_streams without entryd-north-1 3 20
	join_streams without 3
	expect_whole "without that engine" without 3 20
	set_switch relay-engine drop=0
}

engines=(engine-1 engine-2)
start_engine engine-1 --token-us=20000 --grace-ms=15000
start_engine engine-2 --token-us=20000 --grace-ms=15000
start_program relay-engine "$build/standins/tcp-relay" \
	--to="${address[engine-1]}"
endpoint_domain=([engine-1]=north [engine-2]=south)
endpoint_kind=([engine-1]=model [engine-2]=model)
endpoint_address=([engine-1]=${address[relay-engine]})
region=([north]=west [south]=west)
chat_timeout_ms=30000
# All dispatchers listen behind relays that have their addresses. Those of the
# north know the south's connections, so that a cut holds in both directions.
start_program relay-south "$build/standins/tcp-relay" \
	--listen="$(dispatch_address south 1)" --to="$net.121:7100"
start_program relay-north "$build/standins/tcp-relay" \
	--listen="$(dispatch_address north 2)" --to="$net.112:7100" \
	--mark=south-1
start_program relay-north-1 "$build/standins/tcp-relay" \
	--listen="$(dispatch_address north 1)" --to="$net.111:7100" \
	--mark=south-1

# start_behind_relay DOMAIN INDEX ADDRESS: a dispatcher that listens elsewhere.
start_behind_relay()
{
	local file=$work/dispatchd-$1-$2.toml
	write_settings dispatch "$1" "$2" "$file"
	sed -i "s/^peers = .*/peers = \"$3\"/" "$file"
	start_program "dispatchd-$1-$2" "$build/peridot-dispatchd" "$file"
}

write_sheet "$work/sheet-1.toml"
sheet_file=$work/sheet-1.toml
start_behind_relay north 1 "$net.111:7100"
start_behind_relay north 2 "$net.112:7100"
start_behind_relay south 1 "$net.121:7100"
start_entryd north 1
for i in 1 2 3
do
	expect_until "a request is served" \
		answered_as 200 ask entryd-north-1 chat "a bear" 5 false
done
for check in ${CHECKS:-check_domain_cut check_entry_cut check_killed check_frozen check_frozen_queue check_engine_cut}
do
	$check
done
for name in entryd-north-1 dispatchd-north-1 dispatchd-north-2 \
	dispatchd-south-1
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
finish
