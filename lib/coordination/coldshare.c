#include "coordination/coldshare.h"

#include "coordination/rendezvous.h"
#include "coordination/unitshare.h"

#define MS_PER_S 1000

static int64_t longest_timeout_ms(const sheet_t *sheet)
{
	int64_t longest = 0;

	for (size_t i = 0; i < sheet->class_count; i++)
		if (sheet->classes[i].timeout_ms > longest)
			longest = sheet->classes[i].timeout_ms;
	return longest;
}

/* Rank of the cold host at `index` for the endpoint. Ties are broken by host
 * name and then by position in the list. */
static size_t cold_host_rank(const sheet_domain_t *domain, str_t endpoint,
			     size_t index)
{
	const sheet_cold_host_t *hosts = domain->cold_hosts;
	const str_t purpose = STR_LIT("cold");
	uint64_t own = rendezvous_weight(purpose, endpoint, hosts[index].host);
	size_t rank = 0;

	for (size_t i = 0; i < domain->cold_host_count; i++) {
		uint64_t weight =
			rendezvous_weight(purpose, endpoint, hosts[i].host);
		int order = str_compare(hosts[i].host, hosts[index].host);

		if (weight > own ||
		    (weight == own && (order < 0 || (!order && i < index))))
			rank++;
	}
	return rank;
}

unsigned coldshare_units(const sheet_t *sheet, const sheet_endpoint_t *endpoint,
			 str_t host, str_t address)
{
	const sheet_domain_t *domain = &sheet->domains[endpoint->domain_index];
	size_t host_count = domain->cold_host_count;
	size_t rank;

	for (size_t i = 0; i < host_count; i++) {
		const sheet_cold_host_t *listed = &domain->cold_hosts[i];

		if (!str_equals(listed->host, host) ||
		    !str_equals(listed->address, address))
			continue;
		rank = cold_host_rank(domain, endpoint->name, i);
		return unitshare_of(endpoint->cold_limit, host_count, rank);
	}
	return 0;
}

unsigned coldshare_usable_units(const sheet_t *sheet,
				const sheet_endpoint_t *endpoint, str_t host,
				str_t address, const coldshare_time_t *time,
				unsigned previous_units)
{
	const sheet_domain_t *domain = &sheet->domains[endpoint->domain_index];
	int64_t quarantine_ms = coldshare_quarantine_ms(sheet);
	int64_t settled_s = domain->cold_hosts_since_s +
			    sheet->cold_share_ttl_s +
			    (quarantine_ms + MS_PER_S - 1) / MS_PER_S;
	unsigned units;

	if (time->now_ms - time->started_ms < quarantine_ms)
		return 0;
	if (time->now_ms - time->confirmed_ms >=
	    sheet->cold_share_ttl_s * MS_PER_S)
		return 0;
	units = coldshare_units(sheet, endpoint, host, address);
	/* Hosts that still use the former sheet may use reassigned units until
	 * their share expires and their requests have ended. */
	if (time->wall_s < settled_s && units > previous_units)
		return previous_units;
	return units;
}

int64_t coldshare_quarantine_ms(const sheet_t *sheet)
{
	return longest_timeout_ms(sheet) + COLDSHARE_MARGIN_MS;
}
