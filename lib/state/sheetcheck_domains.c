#include "state/sheetcheck_internal.h"

static void read_cold_hosts(const sheetcheck_reader_t *r,
			    const tomlcheck_table_t *table,
			    sheet_domain_t *domain)
{
	static const char *const keys[] = {"host", "address", NULL};
	lineset_t hosts = {0};
	lineset_t addresses = {0};

	domain->cold_host_count = tomlcheck_get_array(
		table, "cold_hosts", 0, SHEET_MAX_COLD_HOSTS, "tables");
	domain->cold_hosts =
		sheet_alloc(r->sheet, domain->cold_host_count *
					      sizeof(*domain->cold_hosts));
	for (size_t i = 0; i < domain->cold_host_count; i++) {
		sheet_cold_host_t *host = &domain->cold_hosts[i];
		tomlcheck_table_t element;

		if (!tomlcheck_get_element(table, "cold_hosts", i, &element))
			continue;
		tomlcheck_check_keys(&element, keys);
		host->host = sheet_copy_str(
			r->sheet, tomlcheck_get_name(&element, "host"));
		host->address = sheet_copy_str(
			r->sheet, tomlcheck_get_address(&element, "address",
							TOMLCHECK_REQUIRED));
		sheetcheck_require_unique(&hosts, &element, "host", host->host,
					  "host in the domain");
		sheetcheck_require_unique(&addresses, &element, "address",
					  host->address,
					  "address in the domain");
	}
	lineset_release(&hosts);
	lineset_release(&addresses);
	domain->cold_hosts_since_s = tomlcheck_get_time(
		table, "cold_hosts_since",
		domain->cold_host_count ? TOMLCHECK_REQUIRED :
					  TOMLCHECK_OPTIONAL);
}

static void read_plans(const sheetcheck_reader_t *r,
		       const tomlcheck_table_t *table, sheet_domain_t *domain)
{
	static const char *const keys[] = {"state", "from", "until", NULL};

	domain->plan_count = tomlcheck_get_array(table, "plan", 0,
						 SHEET_MAX_PLANS, "tables");
	domain->plans = sheet_alloc(r->sheet, domain->plan_count *
						      sizeof(*domain->plans));
	for (size_t i = 0; i < domain->plan_count; i++) {
		sheet_plan_t *plan = &domain->plans[i];
		tomlcheck_table_t element;
		size_t faults = table->check->faults;

		if (!tomlcheck_get_element(table, "plan", i, &element))
			continue;
		tomlcheck_check_keys(&element, keys);
		/* Skips "up": a plan can only make a domain leave. */
		plan->state =
			(sheet_state_t)(tomlcheck_get_choice(
						&element, "state",
						sheetcheck_state_names + 1,
						-1) +
					SHEET_STATE_LEAVING);
		plan->from_s = tomlcheck_get_time(&element, "from",
						  TOMLCHECK_REQUIRED);
		plan->until_s = tomlcheck_get_time(&element, "until",
						   TOMLCHECK_REQUIRED);
		if (faults == table->check->faults &&
		    plan->until_s <= plan->from_s)
			tomlcheck_report(&element, "until",
					 tomlcheck_line(&element, "until"),
					 "expected a time after from");
	}
}

void sheetcheck_read_domains(const sheetcheck_reader_t *r)
{
	static const char *const keys[] = {
		"name", "region", "state", "cold_hosts", "cold_hosts_since",
		"plan", NULL};
	sheet_t *sheet = r->sheet;
	lineset_t names = {0};

	sheet->domains = sheetcheck_alloc_array(
		r, "domain", 1, SHEET_MAX_DOMAINS, sizeof(*sheet->domains),
		&sheet->domain_count);
	for (size_t i = 0; i < sheet->domain_count; i++) {
		sheet_domain_t *domain = &sheet->domains[i];
		tomlcheck_table_t table;

		if (!tomlcheck_get_element(&r->root, "domain", i, &table))
			continue;
		tomlcheck_check_keys(&table, keys);
		domain->name = sheetcheck_read_unique_name(r, &names, &table);
		domain->region = sheet_copy_str(
			sheet, tomlcheck_get_name(&table, "region"));
		domain->state = (sheet_state_t)tomlcheck_get_choice(
			&table, "state", sheetcheck_state_names,
			SHEET_STATE_UP);
		read_cold_hosts(r, &table, domain);
		read_plans(r, &table, domain);
	}
	lineset_release(&names);
}
