#include "coordination/speednews.h"

#include <math.h>

#include "base/msgcodec.h"

#define MESSAGE_FIELDS 2
#define ENTRY_FIELDS 3
/* Logarithms of pauses are sent as multiples of 1 / LOG_STEPS. */
#define LOG_STEPS 4096.0
#define MAX_LOG_STEPS (uint64_t)(log(SPEED_MAX_PAUSE_MS) * LOG_STEPS + 1.0)

size_t speednews_max_entries(size_t receivers)
{
	size_t entries = SPEEDNEWS_BYTES_PER_S / SPEEDNEWS_ENTRY_BYTES /
			 (receivers ? receivers : 1);

	return entries ? entries : 1;
}

bool speednews_is_message(str_t message)
{
	return message.len > 1 &&
	       (unsigned char)message.ptr[1] >= SPEEDNEWS_HOST &&
	       (unsigned char)message.ptr[1] <= SPEEDNEWS_RELAY;
}

static uint64_t sample_count(const speed_sums_t *sums)
{
	return sums->weight < SPEEDNEWS_MAX_SAMPLES ?
		       (uint64_t)llround(sums->weight) :
		       SPEEDNEWS_MAX_SAMPLES;
}

/* Pauses are at least SPEED_MIN_PAUSE_MS, so no logarithm is negative. */
static uint64_t mean_log_steps(const speed_sums_t *sums)
{
	return (uint64_t)llround(sums->log_sum / sums->weight * LOG_STEPS);
}

void speednews_write(const speednews_t *news, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)news->kind);
	msgpack_pack_array(&packer, news->count * ENTRY_FIELDS);
	for (size_t i = 0; i < news->count; i++) {
		const speednews_entry_t *entry = &news->entries[i];

		msgpack_pack_uint32(&packer, entry->process);
		msgpack_pack_uint64(&packer, sample_count(&entry->sums));
		msgpack_pack_uint64(&packer, mean_log_steps(&entry->sums));
	}
}

static bool read_entry(const msgpack_object *fields, speednews_entry_t *entry)
{
	uint64_t numbers[ENTRY_FIELDS];

	if (!msgcodec_read_numbers(fields, numbers, ENTRY_FIELDS) ||
	    numbers[0] > UINT32_MAX || !numbers[1] ||
	    numbers[1] > SPEEDNEWS_MAX_SAMPLES || numbers[2] > MAX_LOG_STEPS)
		return false;
	entry->process = (uint32_t)numbers[0];
	entry->sums.weight = (double)numbers[1];
	entry->sums.log_sum =
		(double)numbers[1] * (double)numbers[2] / LOG_STEPS;
	return true;
}

static bool read_entries(const msgpack_object_array *list, speednews_t *news)
{
	if (list->size % ENTRY_FIELDS ||
	    list->size / ENTRY_FIELDS > SPEEDNEWS_MAX_ENTRIES)
		return false;
	for (uint32_t i = 0; i < list->size; i += ENTRY_FIELDS)
		if (!read_entry(list->ptr + i, &news->entries[news->count++]))
			return false;
	return true;
}

static bool read_message(const msgpack_object *root, speednews_t *news)
{
	const msgpack_object *fields = root->via.array.ptr;
	uint64_t kind;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != MESSAGE_FIELDS ||
	    !msgcodec_read_numbers(fields, &kind, 1) || kind < SPEEDNEWS_HOST ||
	    kind > SPEEDNEWS_RELAY || fields[1].type != MSGPACK_OBJECT_ARRAY)
		return false;
	news->kind = (speednews_kind_t)kind;
	return read_entries(&fields[1].via.array, news);
}

err_code_t speednews_read(str_t message, speednews_t *news, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	news->count = 0;
	ok = msgcodec_unpack(message, &unpacked) &&
	     read_message(&unpacked.data, news);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-speeds", "-",
			    "malformed message");
}
