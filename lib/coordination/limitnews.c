#include "coordination/limitnews.h"

#include <math.h>

#include "base/msgcodec.h"
#include "coordination/ratelimit.h"

#define MESSAGE_FIELDS 2
#define ENTRY_FIELDS 3
#define MAX_STEPS ((uint64_t)(RATELIMIT_MAX_PER_S * RATELIMIT_STEPS_PER_UNIT))

bool limitnews_is_message(str_t message)
{
	return message.len > 1 &&
	       (unsigned char)message.ptr[1] >= LIMITNEWS_HOST &&
	       (unsigned char)message.ptr[1] <= LIMITNEWS_RELAY;
}

static uint64_t to_steps(double per_s)
{
	return (uint64_t)llround(per_s * RATELIMIT_STEPS_PER_UNIT);
}

void limitnews_write(const limitnews_t *news, int64_t now_ms, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)news->kind);
	msgpack_pack_array(&packer, news->count * ENTRY_FIELDS);
	for (size_t i = 0; i < news->count; i++) {
		const limitnews_entry_t *entry = &news->entries[i];
		int64_t age_ms = now_ms - entry->stated_ms;

		msgpack_pack_uint64(&packer, entry->process);
		msgpack_pack_uint64(&packer, to_steps(entry->per_s));
		msgpack_pack_uint64(&packer, age_ms > 0 ? (uint64_t)age_ms : 0);
	}
}

static bool read_entry(const msgpack_object *fields, int64_t now_ms,
		       limitnews_entry_t *entry)
{
	uint64_t numbers[ENTRY_FIELDS];

	if (!msgcodec_read_numbers(fields, numbers, ENTRY_FIELDS) ||
	    numbers[1] > MAX_STEPS || numbers[2] > LIMITNEWS_MAX_AGE_MS)
		return false;
	*entry = (limitnews_entry_t){.process = numbers[0],
				     .per_s = (double)numbers[1] /
					      RATELIMIT_STEPS_PER_UNIT,
				     .stated_ms = now_ms - (int64_t)numbers[2]};
	return true;
}

static bool read_entries(const msgpack_object_array *list, int64_t now_ms,
			 limitnews_t *news)
{
	if (list->size % ENTRY_FIELDS ||
	    list->size / ENTRY_FIELDS > LIMITNEWS_MAX_ENTRIES)
		return false;
	for (uint32_t i = 0; i < list->size; i += ENTRY_FIELDS)
		if (!read_entry(list->ptr + i, now_ms,
				&news->entries[news->count++]))
			return false;
	return true;
}

static bool read_message(const msgpack_object *root, int64_t now_ms,
			 limitnews_t *news)
{
	const msgpack_object *fields = root->via.array.ptr;
	uint64_t kind;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != MESSAGE_FIELDS ||
	    !msgcodec_read_numbers(fields, &kind, 1) || kind < LIMITNEWS_HOST ||
	    kind > LIMITNEWS_RELAY || fields[1].type != MSGPACK_OBJECT_ARRAY)
		return false;
	news->kind = (limitnews_kind_t)kind;
	return read_entries(&fields[1].via.array, now_ms, news);
}

err_code_t limitnews_read(str_t message, int64_t now_ms, limitnews_t *news,
			  err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	news->count = 0;
	ok = msgcodec_unpack(message, &unpacked) &&
	     read_message(&unpacked.data, now_ms, news);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-limits", "-",
			    "malformed message");
}
