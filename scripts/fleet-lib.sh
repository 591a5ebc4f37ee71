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

# write_settings HOST DOMAIN IP SEEDS FILE: writes the settings of one host. If
# sheet_file is set, the host follows that sheet file.
write_settings()
{
	local host=$1 domain=$2 ip=$3 seeds=$4
	{
		printf '[process]\nhost = "%s"\ndomain = "%s"\n' "$host" \
			"$domain"
		printf 'accept_ms = 0\n[listen]\ncallers = "%s:7080"\n' "$ip"
		printf 'peers = "%s:7100"\nadmin = "%s:7081"\n' "$ip" "$ip"
		printf '[peers]\nseeds = [%s]\n' "$seeds"
		test -z "${sheet_file:-}" ||
			printf '[sheet]\nfile = "%s"\n' "$sheet_file"
		printf '[operator]\nkey_sha256 = "%s"\n' "$operator_digest"
	} >"$5"
}

# start_host HOST DOMAIN IP SEEDS: starts a host under its name.
start_host()
{
	write_settings "$@" "$work/$1.toml"
	start_program "$1" "$build/peridot-routerd" \
		--settings="$work/$1.toml" --log-level="${log_level:-warn}"
}

# as_operator NAME PATH [CURL_ARGUMENT...]: sends a request to a host's admin
# interface with the operator's key.
as_operator()
{
	local name=$1 path=$2
	shift 2
	curl -s --max-time 10 -H "Authorization: Bearer $operator_key" "$@" \
		"http://${control[$name]}$path"
}

# metric NAME METRIC: prints the sum of a host's counter over its labels.
metric()
{
	as_operator "$1" /metrics |
		awk -v m="$2" '$1 ~ "^" m "([{]|$)" { s += $2 } END { print s + 0 }'
}

# cpu_ticks NAME: prints the CPU time of a process in clock ticks.
cpu_ticks()
{
	awk '{ print $14 + $15 }' "/proc/${pid[$1]}/stat"
}

# memory_kib NAME: prints the resident memory of a process.
memory_kib()
{
	awk '/^VmRSS/ { print $2 }' "/proc/${pid[$1]}/status"
}

# has_version NAME VERSION: a condition for wait_until.
has_version()
{
	as_operator "$1" /v1/status | grep -q "\"sheet_version\":$2,\"uptime_ms\""
}

# load_average: prints the machine's load averages over 1, 5 and 15 minutes.
load_average()
{
	cut -d' ' -f1-3 /proc/loadavg
}
