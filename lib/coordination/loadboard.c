#include "coordination/loadboard.h"

#include <msgpack.h>
#include <stdlib.h>

#define MESSAGE_FIELDS 3
#define ENTRY_FIELDS 4

typedef struct slot {
	uint32_t host; /* 0: sums of a relay */
	loadboard_entry_t entry;
	int64_t told_ms;
} slot_t;

struct loadboard {
	slot_t *slots;
	size_t count, cap;
	/* The relay whose sums are used: the highest number heard lately. Two
	 * hosts may take themselves for the relay of a region for a while. */
	uint32_t relay;
	int64_t relay_ms;
};

loadboard_t *loadboard_create(void)
{
	loadboard_t *board = calloc(1, sizeof(*board));

	if (!board)
		abort();
	return board;
}

void loadboard_free(loadboard_t *board)
{
	if (!board)
		return;
	free(board->slots);
	free(board);
}

static int append_packed(void *user, const char *data, size_t len)
{
	buf_append(user, data, len);
	return 0;
}

void loadboard_write(loadboard_kind_t kind, uint32_t host,
		     const loadboard_entry_t *entries, size_t count, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_packed);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint32(&packer, kind);
	msgpack_pack_uint32(&packer, host);
	msgpack_pack_array(&packer, count * ENTRY_FIELDS);
	for (size_t i = 0; i < count; i++) {
		msgpack_pack_uint32(&packer, entries[i].endpoint);
		msgpack_pack_uint64(&packer, entries[i].load.backlog_tokens);
		msgpack_pack_uint64(&packer, entries[i].load.tokens_per_s);
		msgpack_pack_uint32(&packer, entries[i].load.in_flight);
	}
}

static slot_t *get_slot(loadboard_t *board, uint32_t host, uint32_t endpoint)
{
	for (size_t i = 0; i < board->count; i++)
		if (board->slots[i].host == host &&
		    board->slots[i].entry.endpoint == endpoint)
			return &board->slots[i];
	if (board->count == LOADBOARD_MAX_ENTRIES)
		return NULL;
	if (board->count == board->cap) {
		slot_t *grown;

		board->cap = board->cap ? board->cap * 2 : 32;
		grown = realloc(board->slots, board->cap * sizeof(*grown));
		if (!grown)
			abort();
		board->slots = grown;
	}
	board->slots[board->count].host = host;
	return &board->slots[board->count++];
}

static bool read_numbers(const msgpack_object *fields, uint64_t *numbers,
			 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		numbers[i] = fields[i].via.u64;
	}
	return true;
}

static bool read_entries(loadboard_t *board, uint32_t host,
			 const msgpack_object_array *array, int64_t now_ms)
{
	if (array->size % ENTRY_FIELDS)
		return false;
	for (uint32_t i = 0; i < array->size; i += ENTRY_FIELDS) {
		uint64_t n[ENTRY_FIELDS];
		slot_t *slot;

		if (!read_numbers(array->ptr + i, n, ENTRY_FIELDS) ||
		    n[0] > UINT32_MAX || n[3] > UINT32_MAX)
			return false;
		slot = get_slot(board, host, (uint32_t)n[0]);
		if (!slot)
			return true;
		slot->entry = (loadboard_entry_t){(uint32_t)n[0],
						  {n[1], n[2], (unsigned)n[3]}};
		slot->told_ms = now_ms;
	}
	return true;
}

static bool accept_relay(loadboard_t *board, uint32_t relay, int64_t now_ms)
{
	if (relay < board->relay &&
	    now_ms - board->relay_ms < LOADBOARD_LIFE_MS)
		return false;
	board->relay = relay;
	board->relay_ms = now_ms;
	return true;
}

static bool read_message(loadboard_t *board, const msgpack_object *root,
			 int64_t now_ms)
{
	const msgpack_object *fields = root->via.array.ptr;
	uint64_t head[2];

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != MESSAGE_FIELDS ||
	    !read_numbers(fields, head, 2) || head[0] > LOADBOARD_SUMS ||
	    head[1] > UINT32_MAX || fields[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	if (head[0] == LOADBOARD_SUMS &&
	    !accept_relay(board, (uint32_t)head[1], now_ms))
		return true;
	return read_entries(board,
			    head[0] == LOADBOARD_SUMS ? 0 : (uint32_t)head[1],
			    &fields[2].via.array, now_ms);
}

err_code_t loadboard_read(loadboard_t *board, str_t message, int64_t now_ms,
			  err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, message.ptr, message.len, NULL) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     read_message(board, &unpacked.data, now_ms);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-loads", "-",
			    "malformed message");
}

static bool is_fresh(const slot_t *slot, int64_t now_ms)
{
	return now_ms - slot->told_ms < LOADBOARD_LIFE_MS;
}

static void add_load(load_t *sum, const load_t *load)
{
	sum->backlog_tokens += load->backlog_tokens;
	sum->tokens_per_s += load->tokens_per_s;
	sum->in_flight += load->in_flight;
}

static void add_entry(loadboard_entry_t *entries, size_t *count, size_t max,
		      const loadboard_entry_t *entry)
{
	for (size_t i = 0; i < *count; i++)
		if (entries[i].endpoint == entry->endpoint) {
			add_load(&entries[i].load, &entry->load);
			return;
		}
	if (*count < max)
		entries[(*count)++] = *entry;
}

size_t loadboard_sum(const loadboard_t *board, int64_t now_ms,
		     loadboard_entry_t *entries, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < board->count; i++)
		if (board->slots[i].host && is_fresh(&board->slots[i], now_ms))
			add_entry(entries, &count, max, &board->slots[i].entry);
	return count;
}

load_t loadboard_get(const loadboard_t *board, uint32_t endpoint,
		     int64_t now_ms)
{
	for (size_t i = 0; i < board->count; i++) {
		const slot_t *slot = &board->slots[i];

		if (!slot->host && slot->entry.endpoint == endpoint)
			return is_fresh(slot, now_ms) ? slot->entry.load :
							(load_t){0, 0, 0};
	}
	return (load_t){0, 0, 0};
}

void loadboard_expire(loadboard_t *board, int64_t now_ms)
{
	for (size_t i = board->count; i-- > 0;)
		if (!is_fresh(&board->slots[i], now_ms))
			board->slots[i] = board->slots[--board->count];
}
