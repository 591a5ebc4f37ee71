#include "state/sheetchange.h"

#include <inttypes.h>

#define STEP "sheet-activate"

static bool has_cold_host(const sheet_domain_t *domain,
			  const sheet_cold_host_t *host)
{
	for (size_t i = 0; i < domain->cold_host_count; i++) {
		if (str_equals(domain->cold_hosts[i].host, host->host) &&
		    str_equals(domain->cold_hosts[i].address, host->address))
			return true;
	}
	return false;
}

/* Ignores the order of the lists: the shares do not depend on it. */
static bool has_same_cold_hosts(const sheet_domain_t *a,
				const sheet_domain_t *b)
{
	if (a->cold_host_count != b->cold_host_count)
		return false;
	for (size_t i = 0; i < a->cold_host_count; i++) {
		if (!has_cold_host(b, &a->cold_hosts[i]))
			return false;
	}
	return true;
}

/* After a change of the cold hosts, cold_hosts_since starts the period in which
 * hosts with the old sheet may still use their units of a cold limit (see
 * coldshare.h). If the time did not move forward, the period could already be
 * over, and two hosts could use the same units. */
static err_code_t check_cold_hosts(const sheet_t *old, const sheet_t *new,
				   err_t *err)
{
	for (size_t i = 0; i < new->domain_count; i++) {
		const sheet_domain_t *after = &new->domains[i];
		const sheet_domain_t *before;
		int old_index = sheet_find_domain(old, after->name);

		if (old_index < 0)
			continue;
		before = &old->domains[old_index];
		if (after->cold_hosts_since_s < before->cold_hosts_since_s)
			return err_set(err, ERR_INVALID, STEP, "",
				       "cold_hosts_since of domain %" STR_FMT
				       " went back",
				       STR_ARG(after->name));
		if (after->cold_hosts_since_s == before->cold_hosts_since_s &&
		    !has_same_cold_hosts(before, after))
			return err_set(err, ERR_INVALID, STEP, "",
				       "cold_hosts of domain %" STR_FMT
				       " changed without a later "
				       "cold_hosts_since",
				       STR_ARG(after->name));
	}
	return ERR_OK;
}

/* The endpoint with this address; `hint` is the index to try first. */
static const sheet_endpoint_t *find_address(const sheet_t *sheet, str_t address,
					    size_t hint)
{
	if (hint < sheet->endpoint_count &&
	    str_equals(sheet->endpoints[hint].address, address))
		return &sheet->endpoints[hint];
	for (size_t i = 0; i < sheet->endpoint_count; i++) {
		if (str_equals(sheet->endpoints[i].address, address))
			return &sheet->endpoints[i];
	}
	return NULL;
}

/* The name and domain of an endpoint decide which hosts get the units of its
 * cold limit. A new name or domain moves units between hosts, as a change of
 * the cold hosts does. The domain's cold_hosts_since must then be later than in
 * the old sheet. For a domain that the old sheet lacks, it must be later than
 * that of the endpoint's old domain. In a domain without cold hosts, no host
 * gets units. */
static err_code_t check_moved_endpoints(const sheet_t *old, const sheet_t *new,
					err_t *err)
{
	for (size_t i = 0; i < new->endpoint_count; i++) {
		const sheet_endpoint_t *after = &new->endpoints[i];
		const sheet_endpoint_t *before =
			find_address(old, after->address, i);
		const sheet_domain_t *new_domain =
			&new->domains[after->domain_index];
		const sheet_domain_t *old_domain;
		int old_index;

		if (!before || !new_domain->cold_host_count)
			continue;
		old_domain = &old->domains[before->domain_index];
		if (str_equals(before->name, after->name) &&
		    str_equals(old_domain->name, new_domain->name))
			continue;
		/* From here on, the old version of `new_domain`, if any. */
		old_index = sheet_find_domain(old, new_domain->name);
		if (old_index >= 0)
			old_domain = &old->domains[old_index];
		if (new_domain->cold_hosts_since_s <=
		    old_domain->cold_hosts_since_s)
			return err_set(err, ERR_INVALID, STEP, "",
				       "endpoint %" STR_FMT
				       " has another name or domain without a "
				       "later cold_hosts_since of domain "
				       "%" STR_FMT,
				       STR_ARG(after->name),
				       STR_ARG(new_domain->name));
	}
	return ERR_OK;
}

err_code_t sheetchange_check(const sheet_t *old, const sheet_t *new, bool *same,
			     err_t *err)
{
	err_code_t code;

	*same = false;
	if (!old)
		return ERR_OK;
	if (new->version < old->version)
		return err_set(err, ERR_VERSION, STEP, "",
			       "version %" PRIu64 " is below %" PRIu64
			       " in force",
			       new->version, old->version);
	if (new->version == old->version) {
		*same = !memcmp(new->digest, old->digest, SHEET_DIGEST_BYTES);
		return *same ? ERR_OK :
			       err_set(err, ERR_CONFLICT, STEP, "",
				       "version %" PRIu64
				       " is in force with other content",
				       new->version);
	}
	code = check_cold_hosts(old, new, err);
	return code ? code : check_moved_endpoints(old, new, err);
}
