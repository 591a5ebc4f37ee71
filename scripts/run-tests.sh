#!/bin/bash
# Usage: run-tests.sh BUILD_DIR [NAME...]
# Runs the unit programs and the session scripts, or only those named, and
# prints a last line "N passed, N failed". A failure of a test that is listed in
# KNOWN-RED.txt is printed but doesn't fail the run.
set -u

build=$1
shift
root=$(cd "$(dirname "$0")/.." && pwd)
logs=$build/test-logs
mkdir -p "$logs"
passed=0
failed=0
known_red=0

is_known_red()
{
	test -f "$root/KNOWN-RED.txt" &&
		grep -q "^test: $1\$" "$root/KNOWN-RED.txt"
}

# run_test NAME COMMAND...: runs one test and counts its result.
run_test()
{
	name=$1
	shift
	if timeout 300 "$@" >"$logs/$name.log" 2>&1
	then
		passed=$((passed + 1))
		echo "ok      $name"
	elif is_known_red "$name"
	then
		known_red=$((known_red + 1))
		echo "known   $name (see KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $name"
		tail -40 "$logs/$name.log"
	fi
}

is_selected()
{
	test ${#selected[@]} -eq 0 && return 0
	for wanted in "${selected[@]}"
	do
		test "$wanted" = "$1" && return 0
	done
	return 1
}

selected=("$@")
for binary in "$build"/unit/test_*
do
	name=$(basename "$binary")
	case $name in *.*) continue ;; esac
	is_selected "$name" && run_test "$name" "$binary"
done
for script in "$root"/tests/session/test_*.sh
do
	test -f "$script" || continue
	name=$(basename "$script" .sh)
	is_selected "$name" && run_test "$name" bash "$script" "$build"
done
test $known_red -gt 0 && echo "$known_red known red, not counted"
echo "$passed passed, $failed failed"
test $failed -eq 0
