#include "coordination/loadboard.h"

#include <stdlib.h>
#include <string.h>

#include "base/msgcodec.h"

#define MS_PER_S 1000
#define MESSAGE_FIELDS 3
#define ENTRY_FIELDS 4

/* Source numbers: hosts are odd, regions are even, and 0 stands for the totals
 * sent by a relay. */
#define HOST_BIT 1u

typedef struct slot {
	uint32_t source;
	loadboard_entry_t entry;
	int64_t updated_ms;
} slot_t;

struct loadboard {
	slot_t *slots;
	size_t count, cap;
	/* Open addressing: positions in `slots` plus one, 0 for none. */
	uint32_t *index;
	size_t index_size; /* a power of two above twice `cap` */
	/* The relay whose totals are used: the highest number heard within the
	 * lifetime. For a while, two hosts may both act as the relay of one
	 * region. */
	uint32_t relay;
	int64_t relay_heard_ms;
	int64_t ttl_ms; /* of an entry */
};

loadboard_t *loadboard_create(void)
{
	loadboard_t *board = calloc(1, sizeof(*board));

	if (!board)
		abort();
	board->ttl_ms = LOADBOARD_TTL_MS;
	return board;
}

void loadboard_free(loadboard_t *board)
{
	if (!board)
		return;
	free(board->slots);
	free(board->index);
	free(board);
}

int64_t loadboard_round_ms(unsigned hosts)
{
	int64_t ms = (int64_t)hosts * LOADBOARD_ROUND_MS_PER_HOST;

	if (hosts > LOADBOARD_LARGE_FLEET_HOSTS)
		ms += (int64_t)(hosts - LOADBOARD_LARGE_FLEET_HOSTS) *
		      LOADBOARD_EXTRA_ROUND_MS_PER_HOST;
	return ms > LOADBOARD_MIN_ROUND_MS ? ms : LOADBOARD_MIN_ROUND_MS;
}

size_t loadboard_max_totals(size_t receivers, int64_t round_ms)
{
	size_t bytes =
		(size_t)(LOADBOARD_TOTALS_BYTES_PER_S * round_ms / MS_PER_S);

	return bytes / LOADBOARD_ENTRY_BYTES / (receivers ? receivers : 1);
}

void loadboard_set_round(loadboard_t *board, int64_t round_ms)
{
	int64_t ttl_ms = LOADBOARD_TTL_ROUNDS * round_ms;

	board->ttl_ms = ttl_ms > LOADBOARD_TTL_MS ? ttl_ms : LOADBOARD_TTL_MS;
}

void loadboard_write(loadboard_kind_t kind, uint32_t source,
		     const loadboard_entry_t *entries, size_t count, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint32(&packer, kind);
	msgpack_pack_uint32(&packer, source);
	msgpack_pack_array(&packer, count * ENTRY_FIELDS);
	for (size_t i = 0; i < count; i++) {
		msgpack_pack_uint32(&packer, entries[i].endpoint);
		msgpack_pack_uint64(&packer, entries[i].load.backlog_tokens);
		msgpack_pack_uint64(&packer, entries[i].load.tokens_per_s);
		msgpack_pack_uint32(&packer, entries[i].load.in_flight);
	}
}

static size_t hash_key(uint32_t source, uint32_t endpoint)
{
	uint64_t key = (uint64_t)source << 32 | endpoint;

	return (size_t)((key * 0x9e3779b97f4a7c15ull) >> 32);
}

/* RETURN VALUE: the index cell with this key, or the empty one for it. */
static uint32_t *find_index_entry(const loadboard_t *board, uint32_t source,
				  uint32_t endpoint)
{
	size_t mask = board->index_size - 1;
	size_t i = hash_key(source, endpoint) & mask;

	for (; board->index[i]; i = (i + 1) & mask) {
		const slot_t *slot = &board->slots[board->index[i] - 1];

		if (slot->source == source && slot->entry.endpoint == endpoint)
			break;
	}
	return &board->index[i];
}

static void rebuild_index(loadboard_t *board)
{
	memset(board->index, 0, board->index_size * sizeof(*board->index));
	for (size_t i = 0; i < board->count; i++) {
		const slot_t *slot = &board->slots[i];

		*find_index_entry(board, slot->source, slot->entry.endpoint) =
			(uint32_t)i + 1;
	}
}

static void grow(loadboard_t *board)
{
	board->cap = board->cap ? board->cap * 2 : 32;
	board->index_size = board->cap * 4;
	board->slots =
		realloc(board->slots, board->cap * sizeof(*board->slots));
	free(board->index);
	board->index = calloc(board->index_size, sizeof(*board->index));
	if (!board->slots || !board->index)
		abort();
	rebuild_index(board);
}

/* RETURN VALUE: NULL when the board is full. */
static slot_t *find_or_add_slot(loadboard_t *board, uint32_t source,
				uint32_t endpoint)
{
	uint32_t *index_entry;
	slot_t *slot;

	if (board->count == board->cap)
		grow(board);
	index_entry = find_index_entry(board, source, endpoint);
	if (*index_entry)
		return &board->slots[*index_entry - 1];
	if (board->count == LOADBOARD_MAX_ENTRIES)
		return NULL;
	slot = &board->slots[board->count++];
	*slot = (slot_t){.source = source, .entry.endpoint = endpoint};
	*index_entry = (uint32_t)board->count;
	return slot;
}

static bool read_entries(loadboard_t *board, uint32_t source,
			 const msgpack_object_array *array, int64_t now_ms)
{
	if (array->size % ENTRY_FIELDS)
		return false;
	for (uint32_t i = 0; i < array->size; i += ENTRY_FIELDS) {
		uint64_t fields[ENTRY_FIELDS];
		slot_t *slot;

		if (!msgcodec_read_numbers(array->ptr + i, fields,
					   ENTRY_FIELDS) ||
		    fields[0] > UINT32_MAX || fields[3] > UINT32_MAX)
			return false;
		slot = find_or_add_slot(board, source, (uint32_t)fields[0]);
		if (!slot)
			return true;
		slot->entry = (loadboard_entry_t){
			(uint32_t)fields[0],
			{fields[1], fields[2], (unsigned)fields[3]}};
		slot->updated_ms = now_ms;
	}
	return true;
}

static bool accept_relay(loadboard_t *board, uint32_t relay, int64_t now_ms)
{
	if (relay < board->relay &&
	    now_ms - board->relay_heard_ms < board->ttl_ms)
		return false;
	board->relay = relay;
	board->relay_heard_ms = now_ms;
	return true;
}

static uint32_t encode_source(loadboard_kind_t kind, uint32_t number)
{
	switch (kind) {
	case LOADBOARD_HOST:
		return number | HOST_BIT;
	case LOADBOARD_REGION:
		/* Bit 1 keeps regions apart from 0, the totals. */
		return (number | 2) & ~HOST_BIT;
	case LOADBOARD_TOTALS:
		break;
	}
	return 0;
}

static bool read_message(loadboard_t *board, const msgpack_object *root,
			 int64_t now_ms)
{
	const msgpack_object *fields = root->via.array.ptr;
	uint64_t header[2];

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != MESSAGE_FIELDS ||
	    !msgcodec_read_numbers(fields, header, 2) ||
	    header[0] > LOADBOARD_REGION || header[1] > UINT32_MAX ||
	    fields[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	if (header[0] == LOADBOARD_TOTALS &&
	    !accept_relay(board, (uint32_t)header[1], now_ms))
		return true;
	return read_entries(
		board,
		encode_source((loadboard_kind_t)header[0], (uint32_t)header[1]),
		&fields[2].via.array, now_ms);
}

err_code_t loadboard_read(loadboard_t *board, str_t message, int64_t now_ms,
			  err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	ok = msgcodec_unpack(message, &unpacked) &&
	     read_message(board, &unpacked.data, now_ms);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-loads", "-",
			    "malformed message");
}

static bool is_fresh(const loadboard_t *board, const slot_t *slot,
		     int64_t now_ms)
{
	return now_ms - slot->updated_ms < board->ttl_ms;
}

static void add_load(load_t *sum, const load_t *load)
{
	sum->backlog_tokens += load->backlog_tokens;
	sum->tokens_per_s += load->tokens_per_s;
	sum->in_flight += load->in_flight;
}

static int compare_endpoints(const void *a, const void *b)
{
	const loadboard_entry_t *left = a;
	const loadboard_entry_t *right = b;

	return (left->endpoint > right->endpoint) -
	       (left->endpoint < right->endpoint);
}

/* Merges adjacent entries of the same endpoint; the list is sorted. */
static size_t merge_entries(loadboard_entry_t *entries, size_t count,
			    size_t max)
{
	size_t merged = 0;

	for (size_t i = 0; i < count; i++) {
		if (merged &&
		    entries[merged - 1].endpoint == entries[i].endpoint)
			add_load(&entries[merged - 1].load, &entries[i].load);
		else
			entries[merged++] = entries[i];
	}
	return merged < max ? merged : max;
}

static bool is_in_scope(const slot_t *slot, loadboard_scope_t scope)
{
	return scope == LOADBOARD_ALL ? slot->source != 0 :
					slot->source & HOST_BIT;
}

size_t loadboard_sum(const loadboard_t *board, loadboard_scope_t scope,
		     int64_t now_ms, loadboard_entry_t *entries, size_t max)
{
	loadboard_entry_t *fresh = malloc((board->count + 1) * sizeof(*fresh));
	size_t count = 0;

	if (!fresh)
		abort();
	for (size_t i = 0; i < board->count; i++)
		if (is_in_scope(&board->slots[i], scope) &&
		    is_fresh(board, &board->slots[i], now_ms))
			fresh[count++] = board->slots[i].entry;
	qsort(fresh, count, sizeof(*fresh), compare_endpoints);
	count = merge_entries(fresh, count, max);
	memcpy(entries, fresh, count * sizeof(*fresh));
	free(fresh);
	return count;
}

/* Orders by prompt tokens first, since pending prefill delays new requests. */
static int compare_loads(const void *a, const void *b)
{
	const load_t *left = &((const loadboard_entry_t *)a)->load;
	const load_t *right = &((const loadboard_entry_t *)b)->load;
	uint64_t left_tokens = left->backlog_tokens + left->tokens_per_s;
	uint64_t right_tokens = right->backlog_tokens + right->tokens_per_s;

	if (left_tokens != right_tokens)
		return left_tokens < right_tokens ? 1 : -1;
	return (left->in_flight < right->in_flight) -
	       (left->in_flight > right->in_flight);
}

size_t loadboard_select_most_loaded(loadboard_entry_t *entries, size_t count,
				    size_t max)
{
	if (count <= max)
		return count;
	qsort(entries, count, sizeof(*entries), compare_loads);
	return max;
}

load_t loadboard_get(const loadboard_t *board, uint32_t endpoint,
		     int64_t now_ms)
{
	uint32_t index_entry =
		board->cap ? *find_index_entry(board, 0, endpoint) : 0;
	const slot_t *slot = &board->slots[index_entry ? index_entry - 1 : 0];

	return index_entry && is_fresh(board, slot, now_ms) ? slot->entry.load :
							      (load_t){0, 0, 0};
}

void loadboard_expire(loadboard_t *board, int64_t now_ms)
{
	size_t old_count = board->count;

	for (size_t i = board->count; i-- > 0;)
		if (!is_fresh(board, &board->slots[i], now_ms))
			board->slots[i] = board->slots[--board->count];
	if (board->count != old_count)
		rebuild_index(board);
}
