#include "coordination/member.h"

#include <stdlib.h>

#include "coordination/rendezvous.h"

struct member_table {
	const mclock_t *clock;
	member_t *members[MEMBER_MAX];
	size_t count;
};

static bool fits(str_t name)
{
	return name.len < SHEET_NAME_BYTES;
}

static void copy_pools(member_t *member, const msg_status_t *status)
{
	member->pool_count = 0;
	for (size_t i = 0; i < status->pool_count && i < MSG_MAX_POOLS; i++) {
		size_t n = member->pool_count;
		char *name = member->pool_names[n];

		if (!str_copy(name, sizeof(member->pool_names[n]),
			      status->pools[i].name))
			continue;
		member->pools[n] = status->pools[i];
		member->pools[n].name = str_from(name);
		member->pool_count++;
	}
}

member_table_t *member_table_create(const mclock_t *clock)
{
	member_table_t *table = calloc(1, sizeof(*table));

	if (table)
		table->clock = clock;
	return table;
}

void member_table_free(member_table_t *table)
{
	if (!table)
		return;
	for (size_t i = 0; i < table->count; i++)
		free(table->members[i]);
	free(table);
}

member_t *member_learn(member_table_t *table, str_t host, str_t domain,
		       str_t address)
{
	member_t *member = member_find(table, address);

	if (!fits(host) || !fits(domain) || !fits(address) || !address.len)
		return member;
	if (!member) {
		if (table->count == MEMBER_MAX)
			return NULL;
		member = calloc(1, sizeof(*member));
		if (!member)
			return NULL;
		str_copy(member->address, sizeof(member->address), address);
		member->learnt_ms = mclock_now_ms(table->clock);
		table->members[table->count++] = member;
	}
	/* What the member said itself is better than what others say. */
	if (!member->heard_ms) {
		if (host.len)
			str_copy(member->host, sizeof(member->host), host);
		if (domain.len)
			str_copy(member->domain, sizeof(member->domain),
				 domain);
	}
	return member;
}

member_t *member_find(member_table_t *table, str_t address)
{
	for (size_t i = 0; i < table->count; i++)
		if (str_equals(str_from(table->members[i]->address), address))
			return table->members[i];
	return NULL;
}

bool member_heard(member_table_t *table, member_t *member,
		  const msg_status_t *status)
{
	bool is_new = !member_is_live(table, member);

	if (!fits(status->host) || !fits(status->domain))
		return false;
	if (member->heard_ms &&
	    memcmp(&member->incarnation, &status->incarnation,
		   sizeof(msg_id_t)) != 0) {
		member->restarts++;
		is_new = true;
	}
	str_copy(member->host, sizeof(member->host), status->host);
	str_copy(member->domain, sizeof(member->domain), status->domain);
	member->incarnation = status->incarnation;
	member->said_leaving = status->leaving;
	member->heard_ms = mclock_now_ms(table->clock);
	member->sheet_version = status->sheet_version;
	memset(member->sheet_digest, 0, sizeof(member->sheet_digest));
	if (status->sheet_digest.len == sizeof(member->sheet_digest))
		memcpy(member->sheet_digest, status->sheet_digest.ptr,
		       sizeof(member->sheet_digest));
	copy_pools(member, status);
	return is_new;
}

bool member_heard_again(member_table_t *table, member_t *member)
{
	bool is_new = !member_is_live(table, member);

	member->heard_ms = mclock_now_ms(table->clock);
	return is_new;
}

bool member_is_live(const member_table_t *table, const member_t *member)
{
	return member->heard_ms &&
	       mclock_now_ms(table->clock) - member->heard_ms <
		       member_timeout_ms(table);
}

bool member_is_leaving(const member_t *member)
{
	return member->said_leaving || member->listed_leaving;
}

int64_t member_interval_ms(const member_table_t *table)
{
	return table->count > MEMBER_SMALL_FLEET ? MEMBER_LARGE_INTERVAL_MS :
						   MEMBER_INTERVAL_MS;
}

int64_t member_timeout_ms(const member_table_t *table)
{
	return table->count > MEMBER_SMALL_FLEET ? MEMBER_LARGE_TIMEOUT_MS :
						   MEMBER_TIMEOUT_MS;
}

size_t member_count(const member_table_t *table)
{
	return table->count;
}

member_t *member_at(const member_table_t *table, size_t index)
{
	return index < table->count ? table->members[index] : NULL;
}

void member_sweep(member_table_t *table, void (*on_drop)(void *, member_t *),
		  void *user)
{
	int64_t now_ms = mclock_now_ms(table->clock);
	size_t kept = 0;

	for (size_t i = 0; i < table->count; i++) {
		member_t *member = table->members[i];
		int64_t last_ms =
			member->heard_ms ? member->heard_ms : member->learnt_ms;

		if (member->is_seed || now_ms - last_ms < MEMBER_FORGET_MS) {
			table->members[kept++] = member;
			continue;
		}
		if (on_drop)
			on_drop(user, member);
		free(member);
	}
	table->count = kept;
}

const member_t *member_owner(const member_table_t *table, const sheet_t *sheet,
			     const sheet_endpoint_t *endpoint,
			     const member_t *self)
{
	str_t domain = sheet->domains[endpoint->domain_index].name;
	const str_t purpose = STR_LIT("owner");
	const member_t *owner = NULL;
	uint64_t best = 0;

	for (size_t i = 0; i <= table->count; i++) {
		const member_t *member =
			i < table->count ? table->members[i] : self;
		uint64_t weight;
		str_t host;

		if (!member || member_is_leaving(member) || !member->host[0] ||
		    !str_equals(str_from(member->domain), domain))
			continue;
		host = str_from(member->host);
		/* Peers may list this process; `self` stands for it. */
		if (i < table->count &&
		    (!member_is_live(table, member) ||
		     (self && str_equals(host, str_from(self->host)))))
			continue;
		weight = rendezvous_weight(purpose, endpoint->name, host);
		if (!owner || weight > best ||
		    (weight == best &&
		     str_compare(host, str_from(owner->host)) < 0)) {
			owner = member;
			best = weight;
		}
	}
	return owner;
}
