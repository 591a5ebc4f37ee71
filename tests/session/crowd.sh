# Crowds of clients outside the platform's limits against one host. Source after
# hosts.sh. The machine of these tests has 24 MB and 500 descriptors; both are
# the bounds that the checks use. A test of another host process sets crowd_host
# and the bounds, and defines restart_host and ordinary_request_is_served.

crowd_memory_mb=24
crowd_max_fds=500
crowd_clients=150
# More than the descriptors: a crowd that only connects.
crowd_idle_clients=600
max_body_bytes=$((256 * 1024))
max_header_bytes=16384
# The process that the crowd meets.
crowd_host=h1
more_settings="limits.memory_mb=$crowd_memory_mb
limits.max_fds=$crowd_max_fds"

# peak_kb: prints the host's peak resident memory.
peak_kb()
{
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid[$crowd_host]}/status"
}

fd_count()
{
	ls "/proc/${pid[$crowd_host]}/fd" | wc -l
}

ordinary_request_is_served()
{
	send_request h1 "ordinary-$RANDOM" /once/a >"$work/ordinary"
	grep -q ': 200 ' "$work/ordinary"
}

restart_host()
{
	start_host h1 1 d1
}

host_runs()
{
	kill -0 "${pid[$crowd_host]}" 2>"$work/kill.err"
}

# check_crowd KIND ADDRESS PATH [PROBE...]: runs one crowd against a host that has
# just started. While it is connected the host must live within its memory and
# descriptors, and serve an ordinary request; PROBE is a further condition that
# must hold then.
check_crowd()
{
	local kind=$1 to=$2 path=$3 clients=$crowd_clients what peak fds crowd
	shift 3
	test "$kind" = idle && clients=$crowd_idle_clients
	what="$kind at ${to##*:}$path"
	rm -f "$work/end"
	mkfifo "$work/end"
	stop_program "$crowd_host" KILL
	restart_host
	python3 "$(dirname "${BASH_SOURCE[0]}")/crowd.py" "$kind" "$to" "$path" \
		"$clients" "$max_body_bytes" "$max_header_bytes" \
		<"$work/end" >"$work/crowd" 2>"$work/crowd.log" &
	crowd=$!
	exec 3>"$work/end"
	wait_until 30 grep -q sent "$work/crowd" || cat "$work/crowd.log"
	fds=$(fd_count)
	expect_until "$what: an ordinary request is served" \
		ordinary_request_is_served
	test $# -gt 0 && expect_until "$what: $*" "$@"
	peak=$(peak_kb)
	exec 3>&-
	pass_or_fail "$what: the crowd ran to its end" wait "$crowd"
	pass_or_fail "$what: the host runs" host_runs
	pass_or_fail "$what: memory ($peak kB)" \
		test "${peak:-999999999}" -lt $((crowd_memory_mb * 1024))
	pass_or_fail "$what: descriptors ($fds)" test "$fds" -lt "$crowd_max_fds"
}

crowd_kinds="whole short pieces chunks large large-chunks fields fields-short
ahead slow-send slow-read half"
