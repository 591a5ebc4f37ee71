#include "coordination/custnews.h"

#include <math.h>

#include "base/msgcodec.h"

#define MESSAGE_FIELDS 4
#define HEADER_NUMBERS 3
#define ENTRY_FIELDS 6
/* Rates travel in steps of this part of a unit a second. */
#define STEPS_PER_UNIT 16
#define MAX_STEPS ((uint64_t)1 << 48)

bool custnews_is_message(str_t message)
{
	return message.len > 1 &&
	       (unsigned char)message.ptr[1] >= CUSTNEWS_HOST &&
	       (unsigned char)message.ptr[1] <= CUSTNEWS_TOTALS;
}

static uint64_t to_steps(double per_s)
{
	double steps = per_s * STEPS_PER_UNIT;

	return steps < (double)MAX_STEPS ? (uint64_t)llround(steps) : MAX_STEPS;
}

static double from_steps(uint64_t steps)
{
	return (double)steps / STEPS_PER_UNIT;
}

void custnews_write(const custnews_t *news, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)news->kind);
	msgpack_pack_uint32(&packer, news->source);
	msgpack_pack_uint8(&packer, news->is_short);
	msgpack_pack_array(&packer, news->count * ENTRY_FIELDS);
	for (size_t i = 0; i < news->count; i++) {
		const custshare_use_t *use = &news->uses[i];

		msgpack_pack_uint32(&packer, use->service);
		msgpack_pack_uint32(&packer, use->customer);
		msgpack_pack_uint32(&packer, use->weight);
		msgpack_pack_uint64(&packer, to_steps(use->used_per_s));
		msgpack_pack_uint64(&packer, to_steps(use->demand_per_s));
		msgpack_pack_uint64(&packer, to_steps(use->usual_per_s));
	}
}

static bool read_use(const msgpack_object *fields, custshare_use_t *use)
{
	uint64_t numbers[ENTRY_FIELDS];

	if (!msgcodec_read_numbers(fields, numbers, ENTRY_FIELDS) ||
	    numbers[0] > UINT32_MAX || numbers[1] > UINT32_MAX || !numbers[2] ||
	    numbers[2] > CUSTSHARE_MAX_WEIGHT || numbers[3] > MAX_STEPS ||
	    numbers[4] > MAX_STEPS || numbers[5] > MAX_STEPS)
		return false;
	*use = (custshare_use_t){.service = (uint32_t)numbers[0],
				 .customer = (uint32_t)numbers[1],
				 .weight = (unsigned)numbers[2],
				 .used_per_s = from_steps(numbers[3]),
				 .demand_per_s = from_steps(numbers[4]),
				 .usual_per_s = from_steps(numbers[5])};
	return true;
}

static bool read_uses(const msgpack_object_array *list, custnews_t *news)
{
	if (list->size % ENTRY_FIELDS ||
	    list->size / ENTRY_FIELDS > CUSTSHARE_MAX_TOTALS)
		return false;
	for (uint32_t i = 0; i < list->size; i += ENTRY_FIELDS)
		if (!read_use(list->ptr + i, &news->uses[news->count++]))
			return false;
	return true;
}

static bool read_message(const msgpack_object *root, custnews_t *news)
{
	const msgpack_object *fields = root->via.array.ptr;
	uint64_t header[HEADER_NUMBERS];

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != MESSAGE_FIELDS ||
	    !msgcodec_read_numbers(fields, header, HEADER_NUMBERS) ||
	    header[0] < CUSTNEWS_HOST || header[0] > CUSTNEWS_TOTALS ||
	    header[1] > UINT32_MAX || header[2] > 1 ||
	    fields[HEADER_NUMBERS].type != MSGPACK_OBJECT_ARRAY)
		return false;
	news->kind = (custnews_kind_t)header[0];
	news->source = (uint32_t)header[1];
	news->is_short = header[2];
	return read_uses(&fields[HEADER_NUMBERS].via.array, news);
}

err_code_t custnews_read(str_t message, custnews_t *news, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	news->count = 0;
	ok = msgcodec_unpack(message, &unpacked) &&
	     read_message(&unpacked.data, news);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-customers", "-",
			    "malformed message");
}
