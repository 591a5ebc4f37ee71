#!/bin/bash
# Helpers for session scripts: source this file after setting "build".
# Programs print "ready ADDRESS [CONTROL]" on stdout once they listen.

work=$(mktemp -d)
failures=0
# shellcheck disable=SC2034 # "address" is used by the scripts
declare -A pid address control

# start_program NAME COMMAND...: starts the command, waits for its ready line
# and sets pid[NAME], address[NAME] and control[NAME]. The log is in
# $work/NAME.err.
start_program()
{
	local name=$1 word
	shift
	: >"$work/$name.out"
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	pid[$name]=$!
	if ! wait_until 10 grep -q '^ready ' "$work/$name.out"
	then
		cat "$work/$name.err"
		return 1
	fi
	read -r word "address[$name]" "control[$name]" <"$work/$name.out"
}

# stop_program NAME [SIGNAL]: ends the program with SIGTERM or the signal given
# and returns its exit status.
stop_program()
{
	local id=${pid[$1]}
	unset "pid[$1]"
	kill "-${2:-TERM}" "$id"
	wait "$id" 2>"$work/wait.err"
}

# stop_all: kills the programs that still run and removes $work; runs on exit.
stop_all()
{
	local name
	for name in "${!pid[@]}"
	do
		kill -KILL "${pid[$name]}" 2>"$work/kill.err"
	done
	wait
	rm -rf "$work"
}
trap stop_all EXIT

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# if it has not succeeded after SECONDS.
wait_until()
{
	local end=$((SECONDS + $1))
	shift
	until "$@"
	do
		test $SECONDS -lt $end || return 1
		sleep 0.02
	done
}

# pass_or_fail WHAT COMMAND...: reports the result of the command as a check.
pass_or_fail()
{
	local what=$1
	shift
	if "$@"
	then
		echo "ok: $what"
	else
		echo "FAILED: $what"
		failures=$((failures + 1))
	fi
}

# expect_equal WHAT EXPECTED ACTUAL: checks that two texts are the same.
expect_equal()
{
	pass_or_fail "$1" test "$2" = "$3"
	test "$2" = "$3" || printf 'expected: %s\nactual:   %s\n' "$2" "$3"
}

# expect_until WHAT COMMAND...: checks that the command succeeds within 10 s.
expect_until()
{
	local what=$1
	shift
	pass_or_fail "$what" wait_until 10 "$@"
}

# compare_golden WHAT GOLDEN ACTUAL: checks that the file equals the golden
# file; shows the difference.
compare_golden()
{
	pass_or_fail "$1" diff -u "$2" "$3"
}

# get_stat NAME FIELD: prints one of the stand-in's counters, unquoted.
get_stat()
{
	curl -s "http://${control[$1]}/control/stats" |
		grep -o "\"$2\":\(-\?[0-9]*\|\"[^\"]*\"\)" | head -1 |
		sed 's/^[^:]*://; s/"//g'
}

# stat_is NAME FIELD VALUE, stat_above NAME FIELD VALUE: conditions for
# wait_until.
stat_is()
{
	test "$(get_stat "$1" "$2")" = "$3"
}

stat_above()
{
	test "$(get_stat "$1" "$2")" -gt "$3"
}

# set_switch NAME KEY=VALUE[&...]: sets fault switches of a stand-in.
set_switch()
{
	curl -sf -X POST -o "$work/set.out" \
		"http://${control[$1]}/control/set?$2"
}

# http_status CURL_ARGUMENT...: sends a request and prints the HTTP status; the
# body is in $work/body, the headers in $work/headers. Status 000 means that no
# response arrived.
http_status()
{
	curl -s -m 20 -o "$work/body" -D "$work/headers" -w '%{http_code}' "$@"
}

# expected_text PROMPT COUNT: computes the text of COUNT tokens that the fake
# engine returns for one ASCII message. Token k is the FNV-1a hash of PROMPT, a
# newline and k.
expected_text()
{
	local text=$1$'\n' start=-3750763034362895579 hash i k word out=
	local prime=1099511628211
	hash_text()
	{
		for ((i = 0; i < ${#1}; i++))
		do
			printf -v word %d "'${1:i:1}"
			hash=$(((hash ^ word) * prime))
		done
	}
	hash=$start
	hash_text "$text"
	start=$hash
	for ((k = 0; k < $2; k++))
	do
		hash=$start
		hash_text "$k"
		printf -v word 'w%06x' $((hash & 0xffffff))
		out+="${out:+ }$word"
	done
	echo "$out"
}

# stream_text FILE: prints the text of the SSE events in a file.
stream_text()
{
	grep -o '"content":"[^"]*"' "$1" | sed 's/^"content":"//; s/"$//' |
		tr -d '\n'
	echo
}

sanitizer_regex='AddressSanitizer|ThreadSanitizer|LeakSanitizer|runtime error:'

# finish: prints the number of failed checks and exits with 0 if there is none.
finish()
{
	if grep -rlE --include='*.err' "$sanitizer_regex" "$work"
	then
		echo "FAILED: a program's log holds a sanitizer report"
		grep -rhE -A12 --include='*.err' \
			"$sanitizer_regex" "$work"
		failures=$((failures + 1))
	fi
	echo "$failures checks failed"
	test "$failures" -eq 0
	exit
}
