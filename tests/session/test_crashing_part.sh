#!/bin/bash
# Usage: test_crashing_part.sh BUILD_DIR
# Three hosts, six servers, and prompts with one part that crashes each server
# that begins to answer them. Guards against requests with such a part taking
# down one server after the other (BUDGET), against refusing sound requests that
# share the customer and the other parts (LOST), and against a host that
# restarts and does not learn of the part.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

servers="1 2 3 4 5 6"
contact_s=4
max_late_sends=3

start_store
for n in $servers
do
	start_server "s$n" "10$n"
done
put_config 3 '"k1"'
for n in $servers
do
	put_server "s$n" "10$n" plain d$((n % 2 + 1)) ready
done
start_host h1 1 d1
start_host h2 2 d1
start_host h3 3 d2

# set_crash PART HOW: from now on servers crash by this part.
set_crash()
{
	local n
	crash_part=$1
	for n in $servers
	do
		control "${address[s$n]}" "/control/crash?part=$1&how=$2"
	done
}

# crash_sends: prints how many requests with the part have reached servers.
crash_sends()
{
	cat "$work"/s?.out | grep -c '^crash'
}

# send_crashing N: sends the Nth request with the part, to the hosts in turn.
# The parts around it differ, but for the customer's.
send_crashing()
{
	send_request "h$(($1 % 3 + 1))" "crash-$1" /single/stream/x \
		-H "X-Peridotpin-Prompt-Prefix: a$(($1 % 2)):50,c0ffee:20,$crash_part:90,e$1:10"
}

# send_sound N PART: sends a sound request that shares the other parts.
send_sound()
{
	send_request "h$(($1 % 3 + 1))" "sound-$1" /single/stream/x \
		-H "X-Peridotpin-Prompt-Prefix: a$(($1 % 2)):50,c0ffee:20,$2:90,f$1:10"
}

# keep_sending_sound: sends sound requests until $work/stop exists; prints the
# responses.
keep_sending_sound()
{
	local i=0
	while ! test -e "$work/stop"
	do
		i=$((i + 1))
		work=$work/sound send_sound $i b$((i % 5))
		sleep 0.05
	done
}
mkdir "$work/sound"

# crash_and_check PART HOW FIRST: sends requests with the part until servers have
# crashed five times, waits, and checks how many reach servers afterwards.
crash_and_check()
{
	local i=$3 before late sound
	set_crash "$1" "$2"
	before=$(crash_sends)
	while test $i -lt $(($3 + 40)) &&
		test "$(crash_sends)" -lt $((before + 5))
	do
		i=$((i + 1))
		send_crashing $i
		sleep 0.3
	done >"$work/first"
	pass_or_fail "$1 crashes servers ($2)" \
		test "$(crash_sends)" -ge $((before + 4))
	sleep $contact_s
	before=$(crash_sends)
	keep_sending_sound >>"$work/sound.out" &
	sound=$!
	for i in $(seq $(($3 + 101)) $(($3 + 112)))
	do
		send_crashing "$i"
		sleep 0.2
	done >"$work/late"
	: >"$work/stop"
	wait $sound
	rm "$work/stop"
	late=$(($(crash_sends) - before))
	pass_or_fail "$late requests reach servers after $contact_s s, $max_late_sends at most" \
		test $late -le $max_late_sends
	expect_equal "the others are refused as not run" $((12 - late)) \
		"$(grep -c ': 503 ' "$work/late")"
}

crash_and_check dead17 head 0
crash_and_check dead18 event 300
stop_program h3 KILL
start_host h3 3 d2
sleep $contact_s
before=$(crash_sends)
for i in 602 605 608 611 614 617
do
	send_crashing $i # h3
	sleep 0.2
done >"$work/restarted"
pass_or_fail "a host that restarted knows the part" \
	test "$(crash_sends)" = "$before"
total=$(grep -c '^sound-' "$work/sound.out")
served=$(grep -c ': 200 .*curl 0' "$work/sound.out")
pass_or_fail "sound requests keep being served ($served of $total)" \
	test $((total - served)) -le $((total / 20))
finish
