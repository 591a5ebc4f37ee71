#include "coordination/crashnews.h"

#include "base/msgcodec.h"

#define MESSAGE_FIELDS 4
#define CRASH_FIELDS 4
#define SOUND_FIELDS 2
/* Older entries are ignored. */
#define MAX_AGE_MS (2 * CRASHBOARD_MAX_BLOCK_MS)

bool crashnews_is_message(str_t message)
{
	return message.len > 1 &&
	       (unsigned char)message.ptr[1] >= CRASHNEWS_HOST &&
	       (unsigned char)message.ptr[1] <= CRASHNEWS_DIGEST;
}

bool crashnews_add(crashnews_t *news, const crash_report_t *crash)
{
	size_t inputs = crash->input_count;

	for (size_t i = 0; i < news->crash_count; i++)
		inputs += news->crashes[i].input_count;
	if (news->crash_count == CRASHNEWS_MAX_CRASHES ||
	    inputs > CRASHNEWS_MAX_INPUTS)
		return false;
	news->crashes[news->crash_count++] = *crash;
	return true;
}

static void pack_age(msgpack_packer *packer, int64_t at_ms, int64_t now_ms)
{
	msgpack_pack_uint64(packer,
			    now_ms > at_ms ? (uint64_t)(now_ms - at_ms) : 0);
}

static void pack_crash(msgpack_packer *packer, const crash_report_t *crash,
		       int64_t now_ms)
{
	msgpack_pack_array(packer, CRASH_FIELDS);
	msgpack_pack_uint64(packer, crash->process);
	pack_age(packer, crash->at_ms, now_ms);
	msgpack_pack_array(packer, crash->reporter_count);
	for (size_t i = 0; i < crash->reporter_count; i++)
		msgpack_pack_uint32(packer, crash->reporters[i]);
	msgpack_pack_array(packer, crash->input_count);
	for (size_t i = 0; i < crash->input_count; i++)
		msgpack_pack_uint64(packer, crash->inputs[i]);
}

void crashnews_write(const crashnews_t *news, int64_t now_ms, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint32(&packer, news->kind);
	msgpack_pack_uint32(&packer, news->source);
	msgpack_pack_array(&packer, news->crash_count);
	for (size_t i = 0; i < news->crash_count; i++)
		pack_crash(&packer, &news->crashes[i], now_ms);
	msgpack_pack_array(&packer, news->sound_count);
	for (size_t i = 0; i < news->sound_count; i++) {
		msgpack_pack_array(&packer, SOUND_FIELDS);
		msgpack_pack_uint64(&packer, news->sound[i].input);
		pack_age(&packer, news->sound[i].began_ms, now_ms);
	}
}

static bool read_number(const msgpack_object *object, uint64_t max,
			uint64_t *number)
{
	*number = object->via.u64;
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       *number <= max;
}

static bool read_age(const msgpack_object *object, int64_t now_ms,
		     int64_t *at_ms)
{
	uint64_t age_ms;
	bool ok = read_number(object, MAX_AGE_MS, &age_ms);

	*at_ms = now_ms - (int64_t)age_ms;
	return ok;
}

static bool is_list(const msgpack_object *object, uint32_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size <= max;
}

static bool is_record(const msgpack_object *object, uint32_t fields)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size == fields;
}

static bool read_reporters(const msgpack_object *list, crash_report_t *crash)
{
	if (!is_list(list, CRASHBOARD_MAX_REPORTERS))
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		uint64_t id;

		if (!read_number(&list->via.array.ptr[i], UINT32_MAX, &id))
			return false;
		crash->reporters[crash->reporter_count++] = (uint32_t)id;
	}
	return true;
}

static bool read_inputs(const msgpack_object *list, crash_report_t *crash)
{
	if (!is_list(list, CRASHBOARD_REPORT_INPUTS))
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++)
		if (!read_number(&list->via.array.ptr[i], UINT64_MAX,
				 &crash->inputs[crash->input_count++]))
			return false;
	return true;
}

static bool read_crash(const msgpack_object *record, int64_t now_ms,
		       crash_report_t *crash)
{
	const msgpack_object *fields = record->via.array.ptr;

	return is_record(record, CRASH_FIELDS) &&
	       read_number(&fields[0], UINT64_MAX, &crash->process) &&
	       read_age(&fields[1], now_ms, &crash->at_ms) &&
	       read_reporters(&fields[2], crash) &&
	       read_inputs(&fields[3], crash);
}

static bool read_crashes(const msgpack_object *list, int64_t now_ms,
			 crashnews_t *news)
{
	if (!is_list(list, CRASHNEWS_MAX_CRASHES))
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++)
		if (!read_crash(&list->via.array.ptr[i], now_ms,
				&news->crashes[news->crash_count++]))
			return false;
	return true;
}

static bool read_sound(const msgpack_object *list, int64_t now_ms,
		       crashnews_t *news)
{
	if (!is_list(list, CRASHNEWS_MAX_SOUND))
		return false;
	for (uint32_t i = 0; i < list->via.array.size; i++) {
		const msgpack_object *record = &list->via.array.ptr[i];
		sound_input_t *sound = &news->sound[news->sound_count++];

		if (!is_record(record, SOUND_FIELDS) ||
		    !read_number(&record->via.array.ptr[0], UINT64_MAX,
				 &sound->input) ||
		    !read_age(&record->via.array.ptr[1], now_ms,
			      &sound->began_ms))
			return false;
	}
	return true;
}

/* True for messages that a relay gets from hosts of its region. */
static bool is_from_host(crashnews_kind_t kind)
{
	return kind == CRASHNEWS_HOST || kind == CRASHNEWS_DIGEST;
}

static void set_reporter(crashnews_t *news)
{
	for (size_t i = 0; i < news->crash_count; i++) {
		news->crashes[i].reporters[0] = news->source;
		news->crashes[i].reporter_count = 1;
	}
}

static bool read_message(const msgpack_object *root, int64_t now_ms,
			 crashnews_t *news)
{
	const msgpack_object *fields = root->via.array.ptr;
	uint64_t kind, source;

	if (!is_record(root, MESSAGE_FIELDS) ||
	    !read_number(&fields[0], CRASHNEWS_DIGEST, &kind) ||
	    kind < CRASHNEWS_HOST ||
	    !read_number(&fields[1], UINT32_MAX, &source) ||
	    !read_crashes(&fields[2], now_ms, news) ||
	    !read_sound(&fields[3], now_ms, news))
		return false;
	news->kind = (crashnews_kind_t)kind;
	news->source = (uint32_t)source;
	if (is_from_host(news->kind))
		set_reporter(news);
	return true;
}

err_code_t crashnews_read(str_t message, int64_t now_ms, crashnews_t *news,
			  err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok;

	*news = (crashnews_t){.source = 0};
	ok = msgcodec_unpack(message, &unpacked) &&
	     read_message(&unpacked.data, now_ms, news);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-crash-news", "-",
			    "malformed message");
}
