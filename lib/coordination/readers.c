#include "coordination/readers.h"

#include <string.h>
#include <xxhash.h>

/* Differs from the seed of the region relays, so that other hosts tend to be
 * readers: relays have work of their own. */
#define WEIGHT_SEED 0x52454144u

uint32_t readers_weight(const char *name)
{
	return (uint32_t)XXH64(name, strlen(name), WEIGHT_SEED);
}

typedef enum candidate {
	CANDIDATE_ABSENT,
	CANDIDATE_FAILING,
	CANDIDATE_READER
} candidate_t;

/* Classifies a host of this domain that has a higher weight. */
static candidate_t classify(const gossip_t *gossip, const member_t *member,
			    int64_t now_ms)
{
	int64_t heard_ms = member->last_message_ms > member->first_heard_ms ?
				   member->last_message_ms :
				   member->first_heard_ms;

	if (!gossip_is_live(gossip, member, now_ms) || member->leaving ||
	    now_ms - heard_ms >= READERS_SILENCE_TIMEOUT_MS)
		return CANDIDATE_ABSENT;
	return member->last_message_ms &&
			       member->service == GOSSIP_SERVICE_FAILING ?
		       CANDIDATE_FAILING :
		       CANDIDATE_READER;
}

static bool outranks(const member_t *member, const member_t *self)
{
	uint32_t weight = readers_weight(member->name);
	uint32_t own = readers_weight(self->name);

	return weight != own ? weight > own :
			       strcmp(member->name, self->name) > 0;
}

static unsigned count_neighbours(const gossip_t *gossip, int64_t now_ms)
{
	const member_t *self = gossip_self(gossip);
	unsigned count = 0;

	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		count += strcmp(member->domain, self->domain) == 0 &&
			 gossip_is_live(gossip, member, now_ms);
	}
	return count;
}

/* See READERS_MIN_START_DELAY_MS. */
static bool is_start_delay_over(const gossip_t *gossip, int64_t age_ms,
				int64_t now_ms)
{
	uint32_t weight = readers_weight(gossip_self(gossip)->name);
	double distance_from_top = 1.0 - weight / (double)UINT32_MAX;

	if (age_ms >= READERS_ALONE_DELAY_MS &&
	    count_neighbours(gossip, now_ms) < READERS_PER_DOMAIN)
		return true;
	return (double)age_ms >=
	       READERS_MIN_START_DELAY_MS +
		       distance_from_top * (READERS_MAX_START_DELAY_MS -
					    READERS_MIN_START_DELAY_MS);
}

bool readers_includes_self(const gossip_t *gossip, int64_t started_ms,
			   int64_t now_ms)
{
	const member_t *self = gossip_self(gossip);
	unsigned readers = 0, failing = 0;

	if (!is_start_delay_over(gossip, now_ms - started_ms, now_ms))
		return false;
	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		if (strcmp(member->domain, self->domain) != 0 ||
		    !outranks(member, self))
			continue;
		switch (classify(gossip, member, now_ms)) {
		case CANDIDATE_ABSENT:
			break;
		case CANDIDATE_FAILING:
			failing++;
			break;
		case CANDIDATE_READER:
			readers++;
			break;
		}
	}
	return readers < READERS_PER_DOMAIN && failing < READERS_MAX_FAILING;
}
