#ifndef COORDINATION_MEMBER_H
#define COORDINATION_MEMBER_H

#include "base/mclock.h"
#include "protocol/msg.h"
#include "state/sheet.h"

/*
 * member - hosts with a dispatch daemon, as this process knows them
 *
 * Learned from seeds, the host list and STATUS messages; live while heard
 * within the failure timeout. No I/O: the daemon sends the heartbeats and
 * reports what it hears.
 */
#define MEMBER_MAX 512
#define MEMBER_INTERVAL_MS 1000
#define MEMBER_TIMEOUT_MS 3000
/* Above this number of peers the interval and the timeout grow. */
#define MEMBER_SMALL_FLEET 12
#define MEMBER_LARGE_INTERVAL_MS 2000
#define MEMBER_LARGE_TIMEOUT_MS 5000
#define MEMBER_FORGET_MS 600000 /* silent members are dropped after this */

typedef struct member {
	char host[SHEET_NAME_BYTES];   /* empty until the first STATUS */
	char domain[SHEET_NAME_BYTES]; /* empty until the first STATUS */
	char address[SHEET_NAME_BYTES];
	msg_id_t incarnation;
	bool said_leaving;   /* by itself */
	bool listed_leaving; /* by the host list */
	bool is_seed;
	int64_t learnt_ms; /* monotonic */
	int64_t heard_ms;  /* monotonic; 0: never */
	unsigned restarts; /* changes of the incarnation */
	uint64_t sheet_version;
	uint8_t sheet_digest[SHEET_DIGEST_BYTES];
	msg_pool_t pools[MSG_MAX_POOLS]; /* names point into pool_names */
	char pool_names[MSG_MAX_POOLS][SHEET_NAME_BYTES + 8];
	size_t pool_count;
	void *user; /* the daemon's link to it */
} member_t;

typedef struct member_table member_table_t;

member_table_t *member_table_create(const mclock_t *clock);
void member_table_free(member_table_t *table);

/* Adds a member by address, or returns the one that is there. NULL when the
 * table is full or a name is overlong. */
member_t *member_learn(member_table_t *table, str_t host, str_t domain,
		       str_t address);
member_t *member_find(member_table_t *table, str_t address);

/*
 * Notes a STATUS.
 *
 * RETURN VALUE: true when the member was not live before or has another
 * incarnation; then what was known of the process before no longer holds. False
 * also for a STATUS with an overlong name, which changes nothing.
 */
bool member_heard(member_table_t *table, member_t *member,
		  const msg_status_t *status);

/*
 * Notes that the last STATUS of the member still holds.
 *
 * RETURN VALUE: true when the member was not live before.
 */
bool member_heard_again(member_table_t *table, member_t *member);

bool member_is_live(const member_table_t *table, const member_t *member);
bool member_is_leaving(const member_t *member);

/* Interval and timeout for the present number of members. */
int64_t member_interval_ms(const member_table_t *table);
int64_t member_timeout_ms(const member_table_t *table);

size_t member_count(const member_table_t *table);
member_t *member_at(const member_table_t *table, size_t index);

/* Drops members not heard for MEMBER_FORGET_MS, seeds excepted, calling
 * `on_drop` before each goes. */
void member_sweep(member_table_t *table, void (*on_drop)(void *, member_t *),
		  void *user);

/*
 * The member that owns the endpoint: the highest rendezvous weight among the
 * live, not leaving members of its domain and `self` (NULL for a process that
 * owns nothing).
 */
const member_t *member_owner(const member_table_t *table, const sheet_t *sheet,
			     const sheet_endpoint_t *endpoint,
			     const member_t *self);

#endif
