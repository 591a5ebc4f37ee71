#include "unit.h"

#include <stdlib.h>

#include "coordination/queue.h"

#define SEED 20261204
#define ROUNDS 40000
#define POOL 12000
#define FAR 1000000000

static queue_entry_t entries[POOL];
static size_t used;

static sheet_class_t classes[] = {
	{.name = {"report", 6},
	 .tier = 0,
	 .floor_percent = 0,
	 .max_queue = 9000},
	{.name = {"chat", 4},
	 .tier = 1,
	 .floor_percent = 10,
	 .max_queue = 9000},
	{.name = {"book", 4}, .tier = 1, .floor_percent = 20, .max_queue = 100},
	{.name = {"tag", 3}, .tier = 4, .floor_percent = 20, .max_queue = 9000},
	{.name = {"batch", 5},
	 .tier = 4,
	 .floor_percent = 0,
	 .max_queue = 9000},
};
#define CLASSES (sizeof(classes) / sizeof(classes[0]))
static const sheet_t sheet = {.classes = classes, .class_count = CLASSES};

static queue_t *new_queue(void)
{
	used = 0;
	return queue_create(&sheet);
}

static queue_entry_t *make(unsigned class_index, const char *customer,
			   uint64_t cost)
{
	queue_entry_t *entry = &entries[used++];

	*entry = (queue_entry_t){.class_index = class_index,
				 .customer = str_from(customer),
				 .customer_weight = 1,
				 .target_ms = 1000,
				 .deadline_ms = FAR,
				 .cost_tokens = cost};
	return entry;
}

static queue_verdict_t push(queue_t *queue, queue_entry_t *entry,
			    queue_entry_t **displaced)
{
	return queue_push(queue, entry, 0, 0, displaced);
}

static queue_entry_t *add(queue_t *queue, unsigned class_index,
			  const char *customer, uint64_t cost)
{
	queue_entry_t *entry = make(class_index, customer, cost);
	queue_entry_t *displaced;

	CU_ASSERT_EQUAL(push(queue, entry, &displaced), QUEUE_ACCEPTED);
	CU_ASSERT_PTR_NULL(displaced);
	return entry;
}

/* Guards against a lower tier, or a later target of the same tier, going
 * first. */
static void test_tiers_then_earliest_target(void)
{
	queue_t *queue = new_queue();
	queue_entry_t *tag = add(queue, 3, "a", 1);
	queue_entry_t *chat = add(queue, 1, "a", 1);
	queue_entry_t *book = make(2, "a", 1);
	queue_entry_t *report = add(queue, 0, "a", 7);
	queue_entry_t *displaced;

	book->target_ms = 500;
	push(queue, book, &displaced);
	CU_ASSERT_EQUAL(queue_tokens_ahead(queue, 1), 9);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), report);
	queue_push_back(queue, report);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), report);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), book);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), chat);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), tag);
	CU_ASSERT_PTR_NULL(queue_pop(queue, 0));
	CU_ASSERT_EQUAL(queue_tokens_ahead(queue, 4), 0);
	queue_free(queue);
}

/* Guards P2: with every class backlogged each gets at least its floor, and a
 * class with floor 0 is served within the documented bound. */
static void test_floors_and_aging(void)
{
	queue_t *queue = new_queue();
	const unsigned pops = 2000;
	unsigned served[CLASSES] = {0};
	unsigned last[CLASSES] = {0};
	unsigned longest[CLASSES] = {0};

	for (unsigned i = 0; i < CLASSES; i++)
		for (unsigned n = 0; n < 40; n++)
			add(queue, i, "a", 100);
	for (unsigned n = 1; n <= pops; n++) {
		queue_entry_t *entry = queue_pop(queue, 0);
		queue_entry_t *displaced;
		unsigned i = entry->class_index;

		served[i]++;
		if (n - last[i] > longest[i])
			longest[i] = n - last[i];
		last[i] = n;
		push(queue, entry, &displaced);
	}
	CU_ASSERT(served[0] >= pops * 45 / 100);
	CU_ASSERT(served[1] >= pops * 10 / 100 - 1);
	CU_ASSERT(served[2] >= pops * 20 / 100 - 1);
	CU_ASSERT(served[3] >= pops * 20 / 100 - 1);
	CU_ASSERT(served[4] >= pops / 100 - 1);
	for (unsigned i = 0; i < CLASSES; i++) {
		unsigned floor = classes[i].floor_percent;

		CU_ASSERT(longest[i] <= 100 / (floor ? floor : 1) + CLASSES);
	}
	queue_free(queue);
}

/* Guards P2 with the most classes: those owed a send longest go first, or two
 * classes with large floors would keep the others waiting beyond the bound. */
static void test_aging_with_most_classes(void)
{
	static char names[SHEET_MAX_CLASSES][8];
	sheet_class_t many[SHEET_MAX_CLASSES] = {0};
	const sheet_t wide = {.classes = many,
			      .class_count = SHEET_MAX_CLASSES};
	unsigned last[SHEET_MAX_CLASSES] = {0};
	queue_t *queue;

	for (int i = 0; i < SHEET_MAX_CLASSES; i++) {
		snprintf(names[i], sizeof(names[i]), "c%d", i);
		many[i].name = str_from(names[i]);
		many[i].tier = i < 2 ? 0 : 4;
		many[i].floor_percent = i < 2 ? 25 : 0;
		many[i].max_queue = 10;
	}
	used = 0;
	queue = queue_create(&wide);
	for (unsigned i = 0; i < SHEET_MAX_CLASSES; i++)
		add(queue, i, "a", 1);
	for (unsigned n = 1; n <= 2000; n++) {
		queue_entry_t *entry = queue_pop(queue, 0);
		queue_entry_t *displaced;

		CU_ASSERT(n - last[entry->class_index] <=
			  100 + SHEET_MAX_CLASSES);
		last[entry->class_index] = n;
		push(queue, entry, &displaced);
	}
	queue_free(queue);
}

/* Guards against sends that did not take place using up or earning floors. */
static void test_push_back_is_no_send(void)
{
	queue_t *queue = new_queue();
	queue_entry_t *report = add(queue, 0, "a", 100);

	add(queue, 4, "a", 100);
	for (int i = 0; i < 500; i++) {
		queue_entry_t *entry = queue_pop(queue, 0);

		CU_ASSERT_PTR_EQUAL(entry, report);
		queue_push_back(queue, entry);
	}
	queue_free(queue);
}

/* Guards against one customer's burst or large requests taking the share of
 * others in its class. */
static void test_customers_share_by_tokens(void)
{
	queue_t *queue = new_queue();
	uint64_t tokens[3] = {0};

	for (int i = 0; i < 3000; i++)
		add(queue, 0, "a", 1500);
	for (int i = 0; i < 1000; i++)
		add(queue, 0, "b", 300);
	for (int i = 0; i < 1000; i++)
		add(queue, 0, "c", 300)->customer_weight = 1;
	for (int i = 0; i < 900; i++) {
		queue_entry_t *entry = queue_pop(queue, 0);

		tokens[entry->customer.ptr[0] - 'a'] += entry->cost_tokens;
	}
	CU_ASSERT(llabs((long long)(tokens[0] - tokens[1])) < 4000);
	CU_ASSERT(llabs((long long)(tokens[1] - tokens[2])) < 4000);
	queue_free(queue);

	queue = new_queue();
	for (int i = 0; i < 1000; i++) {
		queue_entry_t *displaced;
		queue_entry_t *heavy = make(0, "b", 500);

		heavy->customer_weight = 3;
		push(queue, heavy, &displaced);
		add(queue, 0, "a", 500);
	}
	memset(tokens, 0, sizeof(tokens));
	for (int i = 0; i < 800; i++)
		tokens[queue_pop(queue, 0)->customer.ptr[0] - 'a']++;
	CU_ASSERT(tokens[1] >= 590 && tokens[1] <= 610);
	queue_free(queue);
}

/* Guards against one customer filling its class, and one class the queue. */
static void test_bursts_leave_room(void)
{
	queue_t *queue = new_queue();
	queue_entry_t *displaced;
	char name[] = "a";
	unsigned count = 1;

	add(queue, 2, name, 1);
	while (push(queue, make(2, "a", 1), &displaced) == QUEUE_ACCEPTED)
		count++;
	CU_ASSERT_EQUAL(count, 80);
	/* The customer stays known when its first entry and the name end. */
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0)->customer.ptr, name);
	name[0] = '\0';
	CU_ASSERT_EQUAL(push(queue, make(2, "a", 1), &displaced),
			QUEUE_ACCEPTED);
	CU_ASSERT_EQUAL(push(queue, make(2, "a", 1), &displaced), QUEUE_FULL);
	CU_ASSERT_EQUAL(push(queue, make(2, "b", 1), &displaced),
			QUEUE_ACCEPTED);
	CU_ASSERT_EQUAL(push(queue, make(3, "a", 1), &displaced),
			QUEUE_ACCEPTED);
	for (int i = 0; i < 100; i++) {
		static char names[100][8];

		snprintf(names[i], sizeof(names[i]), "n%d", i);
		push(queue, make(2, names[i], 1), &displaced);
		CU_ASSERT_PTR_NULL(displaced);
	}
	CU_ASSERT_EQUAL(queue_class_length(queue, 2), 100);
	queue_free(queue);
}

static void fill(queue_t *queue, unsigned class_index, size_t count)
{
	static const char *const customers[] = {"a", "b", "c", "d"};

	for (size_t i = 0; i < count; i++)
		add(queue, class_index, customers[i % 4], 1);
}

/* Guards P1 and P2: only the newest of the lowest tier is displaced, never the
 * same or a higher tier, and never a class's last entry. */
static void test_displacement(void)
{
	queue_t *queue = new_queue();
	queue_entry_t *displaced;
	queue_entry_t *newest;

	fill(queue, 1, 1);
	fill(queue, 0, QUEUE_MAX_TOTAL - 1);
	fill(queue, 3, 2);
	newest = add(queue, 3, "a", 1);
	CU_ASSERT_EQUAL(push(queue, make(4, "z", 1), &displaced),
			QUEUE_ACCEPTED);
	CU_ASSERT_EQUAL(push(queue, make(4, "z", 1), &displaced), QUEUE_FULL);
	CU_ASSERT_EQUAL(push(queue, make(3, "z", 1), &displaced), QUEUE_FULL);
	CU_ASSERT_EQUAL(push(queue, make(1, "z", 1), &displaced),
			QUEUE_ACCEPTED);
	CU_ASSERT_PTR_EQUAL(displaced, newest);
	CU_ASSERT_EQUAL(push(queue, make(0, "z", 1), &displaced),
			QUEUE_ACCEPTED);
	CU_ASSERT_EQUAL(displaced->class_index, 3);
	CU_ASSERT_EQUAL(push(queue, make(0, "z", 1), &displaced),
			QUEUE_ACCEPTED);
	CU_ASSERT_EQUAL(displaced->class_index, 1);
	CU_ASSERT_EQUAL(push(queue, make(0, "z", 1), &displaced), QUEUE_FULL);
	CU_ASSERT_PTR_NULL(displaced);
	for (unsigned i = 1; i < CLASSES; i++)
		CU_ASSERT_EQUAL(queue_class_length(queue, i), i != 2);
	queue_free(queue);
}

/* Guards against sending requests that are given up already, and against
 * admitting ones that can't start in time. */
static void test_deadlines(void)
{
	queue_t *queue = new_queue();
	queue_entry_t *late = make(0, "a", 1);
	queue_entry_t *gone = make(0, "a", 1);
	queue_entry_t *displaced;

	late->deadline_ms = 200;
	gone->deadline_ms = 100;
	CU_ASSERT_EQUAL(queue_push(queue, late, 0, 201, &displaced),
			QUEUE_TOO_LATE);
	CU_ASSERT_EQUAL(queue_push(queue, late, 200, 0, &displaced),
			QUEUE_TOO_LATE);
	CU_ASSERT_EQUAL(queue_push(queue, late, 0, 200, &displaced),
			QUEUE_ACCEPTED);
	push(queue, gone, &displaced);
	CU_ASSERT_EQUAL(queue_next_deadline(queue), 100);
	CU_ASSERT_PTR_NULL(queue_pop_expired(queue, 99));
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 100), late);
	CU_ASSERT_EQUAL(queue_next_deadline(queue), 100);
	CU_ASSERT_PTR_EQUAL(queue_pop_expired(queue, 100), gone);
	CU_ASSERT_PTR_NULL(queue_pop_expired(queue, 100));
	CU_ASSERT_EQUAL(queue_next_deadline(queue), INT64_MAX);
	push(queue, gone, &displaced);
	CU_ASSERT_PTR_NULL(queue_pop(queue, 100));
	queue_remove(queue, gone);
	queue_remove(queue, gone);
	CU_ASSERT_PTR_NULL(queue_pop_expired(queue, 100));
	queue_free(queue);
}

/* Guards against entries under a wrong class after a new sheet. */
static void test_apply_sheet(void)
{
	sheet_class_t fewer[] = {classes[3], classes[0]};
	const sheet_t next = {.classes = fewer, .class_count = 2};
	queue_t *queue = new_queue();
	queue_entry_t *tag = add(queue, 3, "a", 1);
	queue_entry_t *report = add(queue, 0, "a", 1);
	queue_entry_t *chat = add(queue, 1, "a", 1);
	queue_entry_t *expired = make(2, "a", 1);
	queue_entry_t *dropped;

	expired->deadline_ms = 5;
	push(queue, expired, &dropped);
	queue_push_back(queue, queue_pop(queue, 5));
	queue_apply_sheet(queue, &next, &dropped);
	CU_ASSERT_EQUAL(queue_length(queue), 2);
	CU_ASSERT_PTR_EQUAL(dropped, expired);
	CU_ASSERT_PTR_EQUAL(dropped->next, chat);
	CU_ASSERT_PTR_NULL(chat->next);
	CU_ASSERT_EQUAL(tag->class_index, 0);
	add(queue, 0, "a", 1);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), report);
	CU_ASSERT_PTR_EQUAL(queue_pop(queue, 0), tag);
	queue_free(queue);
}

/* Guards the links and counts under any order of calls, and P1: nothing of the
 * same or a higher tier is ever displaced. */
static void test_random_orders(void)
{
	static bool queued[POOL];
	/* Cleared with the entry, as its owner would free it. */
	static char names[POOL][2];
	queue_t *queue = new_queue();
	size_t count = 0;
	size_t displacements = 0;

	srand(SEED);
	memset(queued, 0, sizeof(queued));
	for (int round = 0; round < ROUNDS; round++) {
		size_t i = (size_t)rand() % POOL;
		queue_entry_t *entry = &entries[i];
		queue_entry_t *out = NULL;
		int64_t now = round;

		if (queued[i] && rand() % 64 == 0) {
			queue_remove(queue, entry);
			out = entry;
		} else if (!queued[i]) {
			used = i;
			names[i][0] = (char)('a' + rand() % 6);
			make((unsigned)rand() % CLASSES, names[i],
			     (uint64_t)rand() % 3000);
			entry->deadline_ms = now + 1 + rand() % (20 * ROUNDS);
			entry->target_ms = now + rand() % 1000;
			if (queue_push(queue, entry, now, 0, &out) ==
			    QUEUE_ACCEPTED) {
				queued[i] = true;
				count++;
			}
			if (out) {
				displacements++;
				CU_ASSERT(classes[out->class_index].tier >
					  classes[entry->class_index].tier);
			}
		} else if (rand() % 64 == 0) {
			out = queue_pop(queue, now);
			if (out && rand() % 2) {
				queue_push_back(queue, out);
				out = NULL;
			}
		}
		if (out) {
			CU_ASSERT_TRUE(queued[out - entries]);
			queued[out - entries] = false;
			names[out - entries][0] = '\0';
			count--;
		}
		while ((out = queue_pop_expired(queue, now))) {
			CU_ASSERT_TRUE(queued[out - entries]);
			queued[out - entries] = false;
			names[out - entries][0] = '\0';
			count--;
		}
		CU_ASSERT_EQUAL(queue_length(queue), count);
	}
	CU_ASSERT(displacements > 100);
	while (queue_pop(queue, 0))
		count--;
	CU_ASSERT_EQUAL(count, 0);
	queue_free(queue);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"tiers, then earliest target",
		 test_tiers_then_earliest_target},
		{"floors and aging", test_floors_and_aging},
		{"aging with most classes", test_aging_with_most_classes},
		{"push back is no send", test_push_back_is_no_send},
		{"customers share by tokens", test_customers_share_by_tokens},
		{"bursts leave room", test_bursts_leave_room},
		{"displacement", test_displacement},
		{"deadlines", test_deadlines},
		{"apply sheet", test_apply_sheet},
		{"random orders", test_random_orders},
		CU_TEST_INFO_NULL};

	return unit_run("queue", tests);
}
