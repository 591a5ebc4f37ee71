#include "coordination/queue.h"

#include <assert.h>
#include <stdlib.h>
#include <xxhash.h>

#define FULL_SHARE 100 /* percent, one send */
#define FLOW_BUCKETS 1024
#define HEAP_MIN_CAP 64

/* Indices of queue_entry_t.slots. */
typedef enum heap_kind {
	HEAP_TARGET,  /* of a class */
	HEAP_DEADLINE /* of the queue */
} heap_kind_t;

/* Binary heap, the earliest time first. */
typedef struct heap {
	queue_entry_t **items;
	size_t count;
	size_t cap;
	heap_kind_t kind;
} heap_t;

/* Entries of one customer in one class. */
typedef struct flow {
	unsigned class_index;
	str_t customer; /* of its first entry */
	size_t bucket;
	unsigned weight;
	bool in_turn; /* got its quantum in this round */
	uint64_t deficit;
	queue_entry_t *first, *last;
	size_t length;
	struct flow *prev, *next; /* ring of the class */
	struct flow *chain;	  /* of the bucket, or of the free list */
} flow_t;

typedef struct class_queue {
	char name[SHEET_NAME_BYTES];
	unsigned tier;
	unsigned floor_percent;
	unsigned max_queue;
	flow_t *turn; /* ring of flows, at the one whose turn it is */
	queue_entry_t *oldest, *newest;
	size_t length;
	uint64_t tokens;
	heap_t by_target;
} class_queue_t;

/* How far a class is below its guaranteed share of sends. */
typedef struct credit {
	unsigned percent;
	uint64_t owed_since; /* pop at which it reached one send; 0: not */
} credit_t;

struct queue {
	class_queue_t classes[SHEET_MAX_CLASSES];
	credit_t credits[SHEET_MAX_CLASSES];
	credit_t credits_before[SHEET_MAX_CLASSES]; /* the last pop */
	const queue_entry_t *last_popped;
	size_t class_count;
	size_t length;
	size_t over; /* entries beyond the first of each class */
	uint64_t sequence;
	uint64_t pops;
	heap_t by_deadline;
	queue_entry_t *expired; /* taken out of the classes */
	flow_t *buckets[FLOW_BUCKETS];
	flow_t *free_flows;
};

/* Value of queue_entry_t.owner for the list of expired entries. */
static char expired_mark;

static int64_t heap_key(const heap_t *heap, const queue_entry_t *entry)
{
	return heap->kind == HEAP_TARGET ? entry->target_ms :
					   entry->deadline_ms;
}

static bool heap_before(const heap_t *heap, const queue_entry_t *a,
			const queue_entry_t *b)
{
	int64_t key_a = heap_key(heap, a);
	int64_t key_b = heap_key(heap, b);

	return key_a < key_b || (key_a == key_b && a->sequence < b->sequence);
}

static void heap_place(heap_t *heap, size_t slot, queue_entry_t *entry)
{
	heap->items[slot] = entry;
	entry->slots[heap->kind] = slot;
}

/* Moves the entry from the slot to where its key belongs. */
static void heap_sift(heap_t *heap, size_t slot, queue_entry_t *entry)
{
	while (slot && heap_before(heap, entry, heap->items[(slot - 1) / 2])) {
		heap_place(heap, slot, heap->items[(slot - 1) / 2]);
		slot = (slot - 1) / 2;
	}
	for (;;) {
		size_t child = 2 * slot + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    heap_before(heap, heap->items[child + 1],
				heap->items[child]))
			child++;
		if (!heap_before(heap, heap->items[child], entry))
			break;
		heap_place(heap, slot, heap->items[child]);
		slot = child;
	}
	heap_place(heap, slot, entry);
}

static void heap_add(heap_t *heap, queue_entry_t *entry)
{
	if (heap->count == heap->cap) {
		size_t cap = heap->cap ? 2 * heap->cap : HEAP_MIN_CAP;
		queue_entry_t **grown =
			realloc(heap->items, cap * sizeof(queue_entry_t *));

		/* As in buf.c: the queue is bounded, so this is no overload. */
		if (!grown)
			abort();
		heap->items = grown;
		heap->cap = cap;
	}
	heap->count++;
	heap_sift(heap, heap->count - 1, entry);
}

static void heap_remove(heap_t *heap, const queue_entry_t *entry)
{
	size_t slot = entry->slots[heap->kind];
	queue_entry_t *last = heap->items[--heap->count];

	assert(heap->items[slot] == entry || last == entry);
	if (last != entry)
		heap_sift(heap, slot, last);
}

static uint64_t cost_of(const queue_entry_t *entry)
{
	if (!entry->cost_tokens)
		return 1;
	return entry->cost_tokens < QUEUE_MAX_COST_TOKENS ?
		       entry->cost_tokens :
		       QUEUE_MAX_COST_TOKENS;
}

static size_t bucket_of(str_t customer)
{
	return XXH3_64bits(customer.len ? customer.ptr : "", customer.len) %
	       FLOW_BUCKETS;
}

static flow_t *find_flow(const queue_t *queue, unsigned class_index,
			 str_t customer)
{
	flow_t *flow = queue->buckets[bucket_of(customer)];

	while (flow && (flow->class_index != class_index ||
			!str_equals(flow->customer, customer)))
		flow = flow->chain;
	return flow;
}

/* Adds a flow whose turn comes last in the ring. */
static flow_t *add_flow(queue_t *queue, const queue_entry_t *entry)
{
	class_queue_t *cls = &queue->classes[entry->class_index];
	flow_t *flow = queue->free_flows;

	if (flow)
		queue->free_flows = flow->chain;
	else
		flow = malloc(sizeof(*flow));
	if (!flow)
		abort();
	*flow = (flow_t){.class_index = entry->class_index,
			 .customer = entry->customer,
			 .bucket = bucket_of(entry->customer)};
	flow->chain = queue->buckets[flow->bucket];
	queue->buckets[flow->bucket] = flow;
	if (cls->turn) {
		flow->next = cls->turn;
		flow->prev = cls->turn->prev;
		flow->prev->next = flow;
		flow->next->prev = flow;
	} else {
		flow->next = flow;
		flow->prev = flow;
		cls->turn = flow;
	}
	return flow;
}

static void drop_flow(queue_t *queue, flow_t *flow)
{
	class_queue_t *cls = &queue->classes[flow->class_index];
	flow_t **link = &queue->buckets[flow->bucket];

	while (*link != flow)
		link = &(*link)->chain;
	*link = flow->chain;
	if (flow->next == flow)
		cls->turn = NULL;
	else if (cls->turn == flow)
		cls->turn = flow->next;
	flow->prev->next = flow->next;
	flow->next->prev = flow->prev;
	flow->chain = queue->free_flows;
	queue->free_flows = flow;
}

static void link_entry(queue_t *queue, queue_entry_t *entry, bool in_front)
{
	class_queue_t *cls = &queue->classes[entry->class_index];
	flow_t *flow = find_flow(queue, entry->class_index, entry->customer);

	if (!flow)
		flow = add_flow(queue, entry);
	flow->weight = entry->customer_weight ? entry->customer_weight : 1;
	entry->owner = flow;
	entry->prev = in_front ? NULL : flow->last;
	entry->next = in_front ? flow->first : NULL;
	*(entry->prev ? &entry->prev->next : &flow->first) = entry;
	*(entry->next ? &entry->next->prev : &flow->last) = entry;
	/* The name must belong to an entry that stays in the flow. */
	if (in_front)
		flow->customer = entry->customer;
	flow->length++;
	entry->older = in_front ? NULL : cls->newest;
	entry->newer = in_front ? cls->oldest : NULL;
	*(entry->older ? &entry->older->newer : &cls->oldest) = entry;
	*(entry->newer ? &entry->newer->older : &cls->newest) = entry;
	if (cls->length++)
		queue->over++;
	cls->tokens += entry->cost_tokens;
	queue->length++;
	heap_add(&cls->by_target, entry);
	heap_add(&queue->by_deadline, entry);
}

static void unlink_entry(queue_t *queue, queue_entry_t *entry)
{
	class_queue_t *cls = &queue->classes[entry->class_index];
	flow_t *flow = entry->owner;

	heap_remove(&cls->by_target, entry);
	heap_remove(&queue->by_deadline, entry);
	*(entry->prev ? &entry->prev->next : &flow->first) = entry->next;
	*(entry->next ? &entry->next->prev : &flow->last) = entry->prev;
	*(entry->older ? &entry->older->newer : &cls->oldest) = entry->newer;
	*(entry->newer ? &entry->newer->older : &cls->newest) = entry->older;
	entry->prev = entry->next = entry->older = entry->newer = NULL;
	entry->owner = NULL;
	flow->length--;
	if (flow->first)
		flow->customer = flow->first->customer;
	else
		drop_flow(queue, flow);
	if (--cls->length)
		queue->over--;
	else
		queue->credits[entry->class_index] = (credit_t){0};
	cls->tokens -= entry->cost_tokens;
	queue->length--;
}

static void list_expired(queue_t *queue, queue_entry_t *entry)
{
	entry->owner = &expired_mark;
	entry->prev = NULL;
	entry->next = queue->expired;
	if (entry->next)
		entry->next->prev = entry;
	queue->expired = entry;
}

static void unlist_expired(queue_t *queue, queue_entry_t *entry)
{
	*(entry->prev ? &entry->prev->next : &queue->expired) = entry->next;
	if (entry->next)
		entry->next->prev = entry->prev;
	entry->prev = entry->next = NULL;
	entry->owner = NULL;
}

/* Takes entries whose deadline has passed out of the classes. */
static void expire(queue_t *queue, int64_t now_ms)
{
	while (queue->by_deadline.count &&
	       queue->by_deadline.items[0]->deadline_ms <= now_ms) {
		queue_entry_t *entry = queue->by_deadline.items[0];

		unlink_entry(queue, entry);
		list_expired(queue, entry);
	}
}

/* The newest entry of the lowest tier below `tier`; the last entry of a class
 * takes no room from others and stays. */
static queue_entry_t *pick_displaced(const queue_t *queue, unsigned tier)
{
	const class_queue_t *lowest = NULL;

	for (size_t i = 0; i < queue->class_count; i++) {
		const class_queue_t *cls = &queue->classes[i];

		if (cls->tier <= tier || cls->length < 2)
			continue;
		if (!lowest || cls->tier > lowest->tier ||
		    (cls->tier == lowest->tier &&
		     cls->newest->sequence > lowest->newest->sequence))
			lowest = cls;
	}
	return lowest ? lowest->newest : NULL;
}

/* Credits every waiting class with its floor for one send. */
static void add_credits(queue_t *queue)
{
	for (size_t i = 0; i < queue->class_count; i++) {
		const class_queue_t *cls = &queue->classes[i];
		credit_t *credit = &queue->credits[i];

		if (!cls->length)
			continue;
		credit->percent +=
			cls->floor_percent > QUEUE_MIN_FLOOR_PERCENT ?
				cls->floor_percent :
				QUEUE_MIN_FLOOR_PERCENT;
		if (credit->percent >= FULL_SHARE && !credit->owed_since)
			credit->owed_since = queue->pops;
	}
}

/* Charges one send. A class that is still owed one goes behind the others. */
static void charge(queue_t *queue, size_t class_index)
{
	credit_t *credit = &queue->credits[class_index];

	credit->percent -=
		credit->percent < FULL_SHARE ? credit->percent : FULL_SHARE;
	credit->owed_since = credit->percent >= FULL_SHARE ? queue->pops : 0;
}

/* True when class a is to be served before class b. */
static bool goes_before(const queue_t *queue, size_t a, size_t b)
{
	const class_queue_t *cls_a = &queue->classes[a];
	const class_queue_t *cls_b = &queue->classes[b];
	uint64_t owed_a = queue->credits[a].owed_since;
	uint64_t owed_b = queue->credits[b].owed_since;

	if (owed_a != owed_b)
		return owed_a && (!owed_b || owed_a < owed_b);
	if (cls_a->tier != cls_b->tier)
		return cls_a->tier < cls_b->tier;
	return heap_before(&cls_a->by_target, cls_a->by_target.items[0],
			   cls_b->by_target.items[0]);
}

/* Deficit round robin over the customers of a class. */
static queue_entry_t *next_in_class(class_queue_t *cls)
{
	for (;;) {
		flow_t *flow = cls->turn;

		if (!flow->in_turn) {
			flow->deficit +=
				(uint64_t)QUEUE_QUANTUM_TOKENS * flow->weight;
			flow->in_turn = true;
		}
		if (flow->deficit >= cost_of(flow->first)) {
			flow->deficit -= cost_of(flow->first);
			return flow->first;
		}
		flow->in_turn = false;
		cls->turn = flow->next;
	}
}

static void set_class(class_queue_t *cls, const sheet_class_t *from)
{
	str_copy(cls->name, sizeof(cls->name), from->name);
	cls->tier = from->tier;
	cls->floor_percent = from->floor_percent;
	cls->max_queue = from->max_queue;
	cls->by_target.kind = HEAP_TARGET;
}

/* Index of the sheet's class of this name, or -1. */
static int find_class(const sheet_t *sheet, const char *name)
{
	char cut[SHEET_NAME_BYTES];

	for (size_t i = 0; i < sheet->class_count; i++) {
		str_copy(cut, sizeof(cut), sheet->classes[i].name);
		if (!strcmp(cut, name))
			return (int)i;
	}
	return -1;
}

static void drop_to(queue_entry_t **dropped, queue_entry_t *entry)
{
	entry->next = *dropped;
	*dropped = entry;
}

queue_t *queue_create(const sheet_t *sheet)
{
	queue_t *queue = calloc(1, sizeof(*queue));

	if (!queue)
		return NULL;
	assert(sheet->class_count <= SHEET_MAX_CLASSES);
	queue->class_count = sheet->class_count;
	for (size_t i = 0; i < sheet->class_count; i++)
		set_class(&queue->classes[i], &sheet->classes[i]);
	queue->by_deadline.kind = HEAP_DEADLINE;
	return queue;
}

void queue_free(queue_t *queue)
{
	if (!queue)
		return;
	while (queue->by_deadline.count)
		unlink_entry(queue, queue->by_deadline.items[0]);
	while (queue->free_flows) {
		flow_t *flow = queue->free_flows;

		queue->free_flows = flow->chain;
		free(flow);
	}
	for (size_t i = 0; i < SHEET_MAX_CLASSES; i++)
		free(queue->classes[i].by_target.items);
	free(queue->by_deadline.items);
	free(queue);
}

void queue_apply_sheet(queue_t *queue, const sheet_t *sheet,
		       queue_entry_t **dropped)
{
	class_queue_t moved[SHEET_MAX_CLASSES] = {0};
	credit_t credits[SHEET_MAX_CLASSES] = {0};
	int to[SHEET_MAX_CLASSES];

	assert(sheet->class_count <= SHEET_MAX_CLASSES);
	*dropped = NULL;
	queue->last_popped = NULL;
	for (size_t i = 0; i < queue->class_count; i++) {
		class_queue_t *cls = &queue->classes[i];

		to[i] = find_class(sheet, cls->name);
		while (to[i] < 0 && cls->newest) {
			queue_entry_t *entry = cls->newest;

			unlink_entry(queue, entry);
			drop_to(dropped, entry);
		}
		if (to[i] < 0)
			free(cls->by_target.items);
	}
	for (queue_entry_t *entry = queue->expired, *next; entry;
	     entry = next) {
		int index = to[entry->class_index];

		next = entry->next;
		if (index >= 0) {
			entry->class_index = (unsigned)index;
			continue;
		}
		unlist_expired(queue, entry);
		drop_to(dropped, entry);
	}
	for (size_t i = 0; i < queue->class_count; i++) {
		if (to[i] < 0)
			continue;
		moved[to[i]] = queue->classes[i];
		credits[to[i]] = queue->credits[i];
		for (queue_entry_t *entry = queue->classes[i].oldest; entry;
		     entry = entry->newer) {
			entry->class_index = (unsigned)to[i];
			((flow_t *)entry->owner)->class_index = (unsigned)to[i];
		}
	}
	for (size_t i = 0; i < sheet->class_count; i++)
		set_class(&moved[i], &sheet->classes[i]);
	memcpy(queue->classes, moved, sizeof(moved));
	memcpy(queue->credits, credits, sizeof(credits));
	queue->class_count = sheet->class_count;
}

queue_verdict_t queue_push(queue_t *queue, queue_entry_t *entry, int64_t now_ms,
			   int64_t wait_ms, queue_entry_t **displaced)
{
	const class_queue_t *cls = &queue->classes[entry->class_index];
	const flow_t *flow;

	assert(entry->class_index < queue->class_count);
	*displaced = NULL;
	if (entry->deadline_ms <= now_ms ||
	    wait_ms > entry->deadline_ms - now_ms)
		return QUEUE_TOO_LATE;
	if (cls->length >= cls->max_queue)
		return QUEUE_FULL;
	flow = find_flow(queue, entry->class_index, entry->customer);
	if (flow && flow->length >= QUEUE_CUSTOMER_SHARE *
					    (cls->max_queue - cls->length))
		return QUEUE_FULL;
	if (cls->length && queue->over >= QUEUE_MAX_TOTAL) {
		*displaced = pick_displaced(queue, cls->tier);
		if (!*displaced)
			return QUEUE_FULL;
		unlink_entry(queue, *displaced);
	}
	entry->sequence = ++queue->sequence;
	link_entry(queue, entry, false);
	return QUEUE_ACCEPTED;
}

queue_entry_t *queue_displace(queue_t *queue, unsigned tier)
{
	queue_entry_t *entry = pick_displaced(queue, tier);

	if (entry)
		unlink_entry(queue, entry);
	return entry;
}

queue_entry_t *queue_pop(queue_t *queue, int64_t now_ms)
{
	size_t best = SHEET_MAX_CLASSES;
	queue_entry_t *entry;

	expire(queue, now_ms);
	if (!queue->length)
		return NULL;
	memcpy(queue->credits_before, queue->credits, sizeof(queue->credits));
	queue->pops++;
	add_credits(queue);
	for (size_t i = 0; i < queue->class_count; i++)
		if (queue->classes[i].length &&
		    (best == SHEET_MAX_CLASSES || goes_before(queue, i, best)))
			best = i;
	charge(queue, best);
	entry = next_in_class(&queue->classes[best]);
	unlink_entry(queue, entry);
	queue->last_popped = entry;
	return entry;
}

void queue_push_back(queue_t *queue, queue_entry_t *entry)
{
	class_queue_t *cls = &queue->classes[entry->class_index];
	flow_t *flow;

	link_entry(queue, entry, true);
	if (queue->last_popped == entry)
		memcpy(queue->credits, queue->credits_before,
		       sizeof(queue->credits));
	queue->last_popped = NULL;
	/* The customer gets its tokens and its turn back. */
	flow = entry->owner;
	flow->deficit += cost_of(entry);
	flow->in_turn = true;
	cls->turn = flow;
}

void queue_remove(queue_t *queue, queue_entry_t *entry)
{
	if (entry->owner == &expired_mark)
		unlist_expired(queue, entry);
	else if (entry->owner)
		unlink_entry(queue, entry);
}

queue_entry_t *queue_pop_expired(queue_t *queue, int64_t now_ms)
{
	queue_entry_t *entry;

	expire(queue, now_ms);
	entry = queue->expired;
	if (entry)
		unlist_expired(queue, entry);
	return entry;
}

size_t queue_length(const queue_t *queue)
{
	return queue->length;
}

size_t queue_class_length(const queue_t *queue, unsigned class_index)
{
	return class_index < queue->class_count ?
		       queue->classes[class_index].length :
		       0;
}

uint64_t queue_tokens_ahead(const queue_t *queue, unsigned tier)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i < queue->class_count; i++)
		if (queue->classes[i].tier <= tier)
			tokens += queue->classes[i].tokens;
	return tokens;
}

int64_t queue_next_deadline(const queue_t *queue)
{
	if (queue->expired)
		return queue->expired->deadline_ms;
	return queue->by_deadline.count ?
		       queue->by_deadline.items[0]->deadline_ms :
		       INT64_MAX;
}
