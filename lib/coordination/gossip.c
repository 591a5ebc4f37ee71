#include "coordination/gossip_internal.h"

#include <stdlib.h>
#include <xxhash.h>

gossip_t *gossip_create(const gossip_self_t *self, uint64_t random_seed)
{
	gossip_t *gossip = calloc(1, sizeof(*gossip));

	if (!gossip)
		abort();
	str_copy(gossip->self.name, GOSSIP_NAME_BYTES, str_from(self->name));
	str_copy(gossip->self.domain, GOSSIP_NAME_BYTES,
		 str_from(self->domain));
	str_copy(gossip->self.ip, GOSSIP_IP_BYTES, str_from(self->ip));
	gossip->self.incarnation = self->incarnation;
	gossip->random_state = random_seed | 1;
	return gossip;
}

void gossip_free(gossip_t *gossip)
{
	if (!gossip)
		return;
	free(gossip->members);
	free(gossip);
}

static uint64_t next_random(gossip_t *gossip)
{
	/* xorshift64 */
	gossip->random_state ^= gossip->random_state << 13;
	gossip->random_state ^= gossip->random_state >> 7;
	gossip->random_state ^= gossip->random_state << 17;
	return gossip->random_state;
}

member_t *gossip_find(const gossip_t *gossip, const char *name)
{
	for (size_t i = 0; i < gossip->count; i++)
		if (!strcmp(gossip->members[i].name, name))
			return &gossip->members[i];
	return NULL;
}

/* RETURN VALUE: the host with the oldest `last_heard_ms`, to be overwritten. */
static member_t *find_stalest(gossip_t *gossip)
{
	member_t *stalest = &gossip->members[0];

	for (size_t i = 1; i < gossip->count; i++)
		if (gossip->members[i].last_heard_ms < stalest->last_heard_ms)
			stalest = &gossip->members[i];
	return stalest;
}

static member_t *add_member(gossip_t *gossip)
{
	if (gossip->count == GOSSIP_MAX_MEMBERS)
		return find_stalest(gossip);
	if (gossip->count == gossip->cap) {
		member_t *grown;

		gossip->cap = gossip->cap ? gossip->cap * 2 : 8;
		grown = realloc(gossip->members, gossip->cap * sizeof(*grown));
		if (!grown)
			abort();
		gossip->members = grown;
	}
	return &gossip->members[gossip->count++];
}

bool gossip_is_live(const gossip_t *gossip, const member_t *member,
		    int64_t now_ms)
{
	int64_t timeout_ms = GOSSIP_LIVE_MS;

	if (gossip->count > GOSSIP_LARGE_FLEET_HOSTS)
		timeout_ms +=
			(int64_t)(gossip->count - GOSSIP_LARGE_FLEET_HOSTS) *
			GOSSIP_LIVE_EXTRA_MS_PER_HOST;
	return now_ms - member->last_heard_ms < timeout_ms;
}

/* True when the entry is of an earlier start of the host than the known one. An
 * incarnation is a time of day, so a host whose clock was set back has a lower
 * one after a restart; it is accepted once the known one is no longer live. */
static bool is_earlier(const gossip_t *gossip, const member_t *update,
		       const member_t *known)
{
	return update->incarnation < known->incarnation &&
	       gossip_is_live(gossip, known, update->last_heard_ms);
}

member_t *gossip_merge(gossip_t *gossip, const member_t *update, int64_t now_ms)
{
	member_t *member;

	if (!update->name[0] || !strcmp(update->name, gossip->self.name))
		return NULL;
	member = gossip_find(gossip, update->name);
	if (member && is_earlier(gossip, update, member))
		return NULL;
	if (!member || update->incarnation != member->incarnation) {
		if (!member)
			member = add_member(gossip);
		*member = *update;
		member->first_heard_ms = now_ms;
		member->tag = XXH32(member->name, strlen(member->name),
				    (uint32_t)member->incarnation) &
			      GOSSIP_TAG_MASK;
		return member;
	}
	if (update->last_heard_ms > member->last_heard_ms)
		member->last_heard_ms = update->last_heard_ms;
	return member;
}

static bool is_chosen(const member_t *const *targets, size_t count,
		      const member_t *member)
{
	for (size_t i = 0; i < count; i++)
		if (targets[i] == member)
			return true;
	return false;
}

/* Chooses a live host that is not a target yet, from a random position of the
 * table. */
static const member_t *pick_target(gossip_t *gossip, int64_t now_ms,
				   bool own_domain,
				   const member_t *const *targets, size_t count)
{
	size_t start = gossip->count ? next_random(gossip) % gossip->count : 0;

	for (size_t i = 0; i < gossip->count; i++) {
		const member_t *member =
			&gossip->members[(start + i) % gossip->count];

		if (gossip_is_live(gossip, member, now_ms) &&
		    !is_chosen(targets, count, member) &&
		    (!own_domain ||
		     !strcmp(member->domain, gossip->self.domain)))
			return member;
	}
	return NULL;
}

size_t gossip_targets(gossip_t *gossip, int64_t now_ms,
		      const member_t **targets)
{
	size_t count = 0;

	for (size_t i = 0; i < GOSSIP_FANOUT; i++) {
		bool own_domain = i + 1 < GOSSIP_FANOUT;
		const member_t *member =
			pick_target(gossip, now_ms, own_domain, targets, count);

		if (member)
			targets[count++] = member;
	}
	return count;
}

const member_t *gossip_self(const gossip_t *gossip)
{
	return &gossip->self;
}

size_t gossip_member_count(const gossip_t *gossip)
{
	return gossip->count;
}

const member_t *gossip_member(const gossip_t *gossip, size_t index)
{
	return &gossip->members[index];
}

static bool is_in_domain(const member_t *member, const char *domain)
{
	return !domain || !strcmp(member->domain, domain);
}

/* True when the host shares fleet-wide limits. */
static bool is_counted(const member_t *member, const char *domain,
		       int64_t now_ms)
{
	return now_ms - member->last_heard_ms < GOSSIP_HOST_COUNT_MS &&
	       is_in_domain(member, domain);
}

static unsigned count_members(const gossip_t *gossip, int64_t now_ms,
			      const char *domain)
{
	unsigned count = 1;

	for (size_t i = 0; i < gossip->count; i++)
		count += is_counted(&gossip->members[i], domain, now_ms);
	return count;
}

size_t gossip_host_names(const gossip_t *gossip, const char *domain,
			 int64_t now_ms, str_t *names, size_t max)
{
	size_t count = 0;

	if (max && is_in_domain(&gossip->self, domain))
		names[count++] = str_from(gossip->self.name);
	for (size_t i = 0; i < gossip->count && count < max; i++)
		if (is_counted(&gossip->members[i], domain, now_ms))
			names[count++] = str_from(gossip->members[i].name);
	return count;
}

unsigned gossip_host_count(const gossip_t *gossip, int64_t now_ms)
{
	return count_members(gossip, now_ms, NULL);
}

unsigned gossip_domain_host_count(const gossip_t *gossip, int64_t now_ms)
{
	return count_members(gossip, now_ms, gossip->self.domain);
}

static bool is_own_domain(const gossip_t *gossip, const member_t *member)
{
	return !strcmp(member->domain, gossip->self.domain);
}

static bool is_better_source(const gossip_t *gossip, const member_t *a,
			     const member_t *b)
{
	if (is_own_domain(gossip, a) != is_own_domain(gossip, b))
		return is_own_domain(gossip, a);
	return position_is_newer(a->position, b->position);
}

static bool was_heard_lately(const member_t *member, int64_t now_ms)
{
	return member->last_message_ms &&
	       now_ms - member->last_message_ms <= GOSSIP_LIVE_MS;
}

/* A host that has just begun an era has no revision in it. */
static bool has_newer_records(const member_t *member, position_t own,
			      gossip_eras_t eras)
{
	return member->position.revision &&
	       position_is_newer(member->position, own) &&
	       (member->position.era == own.era ||
		(eras == GOSSIP_LATER_ERAS &&
		 position_accepts_era(own, member->position.era)));
}

const member_t *gossip_pull_source(const gossip_t *gossip, position_t own,
				   gossip_eras_t eras, const char *excluded_ip,
				   int64_t now_ms)
{
	const member_t *best = NULL;

	for (size_t i = 0; i < gossip->count; i++) {
		const member_t *member = &gossip->members[i];

		if (!has_newer_records(member, own, eras) ||
		    !was_heard_lately(member, now_ms) ||
		    (excluded_ip && !strcmp(member->ip, excluded_ip)))
			continue;
		if (!best || is_better_source(gossip, member, best))
			best = member;
	}
	return best;
}

int64_t gossip_latest_era(const gossip_t *gossip, position_t own,
			  int64_t now_ms)
{
	int64_t latest = own.era;

	for (size_t i = 0; i < gossip->count; i++) {
		const member_t *member = &gossip->members[i];

		if (member->position.era > latest &&
		    position_accepts_era(own, member->position.era) &&
		    was_heard_lately(member, now_ms))
			latest = member->position.era;
	}
	return latest;
}
