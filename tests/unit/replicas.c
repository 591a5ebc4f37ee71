#include "replicas.h"

#include <stdio.h>

#include "unit.h"

buf_t changes;

void on_change(void *user, str_t key, str_t value)
{
	(void)user;
	buf_printf(&changes, "%" STR_FMT "=%" STR_FMT " ", STR_ARG(key),
		   STR_ARG(value.ptr ? value : (str_t)STR_LIT("-")));
}

replica_t *create_replica(void)
{
	replica_observer_t observer = {.changed = on_change};

	buf_reset(&changes);
	return replica_create(&observer);
}

/* Compares the recorded changes with the expected ones, and clears them. */
bool match_and_reset_changes(const char *expected)
{
	bool same = str_equals(buf_view(&changes), str_from(expected));

	if (!same)
		fprintf(stderr, "got \"%" STR_FMT "\"\n",
			STR_ARG(buf_view(&changes)));
	buf_reset(&changes);
	return same;
}

void copy_record(void *user, str_t key, str_t value, int64_t revision)
{
	if (value.ptr)
		replica_put(user, key, value, revision);
	else
		replica_remove(user, key, revision);
}

void put_all(replica_t *replica, const char *const *values, int64_t revision)
{
	for (; *values; values++)
		replica_put(replica, (str_t){*values, 1},
			    (str_t){*values + 2, 1}, revision++);
}

/* Lists records such as "a=1", from revision 1 on, in the replica's era. */
void list_records(replica_t *replica, const char *const *values,
		  int64_t revision)
{
	unsigned listing = replica_begin_listing(replica);

	put_all(replica, values, 1);
	CU_ASSERT_TRUE(replica_end_listing(replica, listing, revision));
}
