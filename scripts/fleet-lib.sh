# shellcheck shell=bash
# Starts fleets of real processes for measurements. Source it after setting
# "build" and "root"; it sources tests/session/lib.sh.

# shellcheck source=/dev/null
. "$root/tests/session/lib.sh"
net=127.$((216 + $$ / 250 % 30)).$((1 + $$ % 250))
operator_key=example-key-operator

key_digest()
{
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}
operator_digest=$(key_digest "$operator_key")

# write_settings ROLE HOST DOMAIN IP SEEDS FILE: settings of one daemon, with
# the platform of $platform and the sheet of $sheet_file when they are set.
write_settings()
{
	local role=$1 host=$2 domain=$3 ip=$4 seeds=$5
	{
		printf '[process]\nhost = "%s"\ndomain = "%s"\n' "$host" \
			"$domain"
		if test "$role" = dispatch
		then
			printf '[listen]\npeers = "%s:7100"\n' "$ip"
			printf 'admin = "%s:7101"\n[peers]\n' "$ip"
		else
			printf '[listen]\ncallers = "%s:7080"\n' "$ip"
			printf 'admin = "%s:7081"\n[peers]\n' "$ip"
			printf 'local = "%s:7100"\n' "$ip"
		fi
		printf 'seeds = [%s]\n' "$seeds"
		test -z "${platform:-}${sheet_file:-}" || echo '[platform]'
		test -z "${platform:-}" || printf 'address = "%s"\n' "$platform"
		test -z "${sheet_file:-}" ||
			printf 'sheet_file = "%s"\n' "$sheet_file"
		printf '[operator]\nkey_sha256 = "%s"\n' "$operator_digest"
		test "$role" = dispatch ||
			printf '[limits]\nthreads = %s\n' "${threads:-64}"
	} >"$6"
}

# start_host HOST DOMAIN IP SEEDS: starts the two daemons of a host under the
# names dispatchd-HOST and entryd-HOST. With platform_for=dispatch, only the
# dispatch daemon watches the platform.
start_host()
{
	local watched=${platform:-}
	write_settings dispatch "$@" "$work/dispatchd-$1.toml"
	if test "${platform_for:-all}" = dispatch
	then
		local platform=
	fi
	write_settings entry "$@" "$work/entryd-$1.toml"
	platform=$watched
	start_program "dispatchd-$1" "$build/peridot-dispatchd" \
		"$work/dispatchd-$1.toml" || return 1
	start_program "entryd-$1" "$build/peridot-entryd" \
		"$work/entryd-$1.toml"
}

# as_operator NAME PATH [CURL_ARGUMENT...]: a call to a daemon's operators'
# interface.
as_operator()
{
	local name=$1 path=$2
	shift 2
	curl -s --max-time 10 -H "Authorization: Bearer $operator_key" "$@" \
		"http://${control[$name]}$path"
}

# metric NAME METRIC: the sum of a daemon's counter over its labels.
metric()
{
	as_operator "$1" /metrics |
		awk -v m="$2" '$1 ~ "^" m "([{]|$)" { s += $2 } END { print s + 0 }'
}

# cpu_ticks NAME: processor time of a process in clock ticks.
cpu_ticks()
{
	awk '{ print $14 + $15 }' "/proc/${pid[$1]}/stat"
}

# memory_kib NAME: resident memory of a process.
memory_kib()
{
	awk '/^VmRSS/ { print $2 }' "/proc/${pid[$1]}/status"
}

# has_version NAME VERSION: a condition for wait_until.
has_version()
{
	as_operator "$1" /v1/status | grep -q "\"sheet_version\":$2,\"uptime_ms\""
}

load_now()
{
	cut -d' ' -f1-3 /proc/loadavg
}
