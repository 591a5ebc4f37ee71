#include "coordination/pullcodec.h"

#include "base/msgcodec.h"

#define REQUEST_FIELDS 2  /* era, revision */
#define RESPONSE_FIELDS 4 /* era, revision, is_delta, records */
#define RECORD_FIELDS 3	  /* key, revision, value */

static bool is_count(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       object->via.u64 <= INT64_MAX;
}

static void pack_position(msgpack_packer *packer, position_t position)
{
	msgpack_pack_int64(packer, position.era);
	msgpack_pack_int64(packer, position.revision);
}

static position_t read_position(const msgpack_object *fields)
{
	return (position_t){(int64_t)fields[0].via.u64,
			    (int64_t)fields[1].via.u64};
}

void pullcodec_write_request(position_t position, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, REQUEST_FIELDS);
	pack_position(&packer, position);
}

static bool is_request(const msgpack_object *root)
{
	return root->type == MSGPACK_OBJECT_ARRAY &&
	       root->via.array.size == REQUEST_FIELDS &&
	       is_count(&root->via.array.ptr[0]) &&
	       is_count(&root->via.array.ptr[1]);
}

err_code_t pullcodec_read_request(str_t message, position_t *position,
				  err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok = msgcodec_unpack(message, &unpacked) &&
		  is_request(&unpacked.data);

	if (ok)
		*position = read_position(unpacked.data.via.array.ptr);
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-question", "-",
			    "not a position");
}

/* Records are encoded into a buffer of their own, since their number precedes
 * them in the response. */
typedef struct record_list {
	msgpack_packer packer;
	buf_t records;
	size_t count;
} record_list_t;

static void pack_record(void *user, str_t key, str_t value, int64_t revision)
{
	record_list_t *list = user;

	msgpack_pack_array(&list->packer, RECORD_FIELDS);
	msgpack_pack_str_with_body(&list->packer, key.ptr, key.len);
	msgpack_pack_int64(&list->packer, revision);
	if (value.ptr)
		msgpack_pack_bin_with_body(&list->packer, value.ptr, value.len);
	else
		msgpack_pack_nil(&list->packer);
	list->count++;
}

void pullcodec_write_response(const replica_t *replica, position_t after,
			      buf_t *out)
{
	record_list_t list = {.records = BUF_INIT};
	msgpack_packer packer;
	bool is_delta;

	msgpack_packer_init(&list.packer, &list.records, msgcodec_append);
	is_delta = replica_changes(replica, after, pack_record, &list);
	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, RESPONSE_FIELDS);
	pack_position(&packer, replica_position(replica));
	if (is_delta)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	msgpack_pack_array(&packer, list.count);
	buf_append_str(out, buf_view(&list.records));
	buf_release(&list.records);
}

static bool is_record(const msgpack_object *item)
{
	const msgpack_object *fields = item->via.array.ptr;

	return item->type == MSGPACK_OBJECT_ARRAY &&
	       item->via.array.size == RECORD_FIELDS &&
	       fields[0].type == MSGPACK_OBJECT_STR && is_count(&fields[1]) &&
	       (fields[2].type == MSGPACK_OBJECT_BIN ||
		fields[2].type == MSGPACK_OBJECT_NIL);
}

static bool is_response(const msgpack_object *root)
{
	const msgpack_object *fields = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != RESPONSE_FIELDS || !is_count(&fields[0]) ||
	    !is_count(&fields[1]) || fields[2].type != MSGPACK_OBJECT_BOOLEAN ||
	    fields[3].type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < fields[3].via.array.size; i++)
		if (!is_record(&fields[3].via.array.ptr[i]))
			return false;
	return true;
}

/* Changes are relative to a position of the same era. */
static bool is_applicable(const replica_t *replica,
			  const msgpack_object *fields)
{
	position_t own = replica_position(replica);
	int64_t era = (int64_t)fields[0].via.u64;

	return era <= own.era ||
	       (position_accepts_era(own, era) && !fields[2].via.boolean);
}

static void apply_record(replica_t *replica, const msgpack_object *fields)
{
	str_t key = {fields[0].via.str.ptr, fields[0].via.str.size};
	int64_t revision = (int64_t)fields[1].via.u64;

	if (fields[2].type == MSGPACK_OBJECT_BIN)
		replica_put(
			replica, key,
			(str_t){fields[2].via.bin.ptr, fields[2].via.bin.size},
			revision);
	else
		replica_remove(replica, key, revision);
}

static void apply_response(replica_t *replica, const msgpack_object *fields,
			   position_t position)
{
	bool is_delta = fields[2].via.boolean;
	unsigned listing = 0;

	if (position.era != replica_position(replica).era)
		replica_begin_era(replica, position.era);
	if (!is_delta)
		listing = replica_begin_listing(replica);
	for (uint32_t i = 0; i < fields[3].via.array.size; i++)
		apply_record(replica, fields[3].via.array.ptr[i].via.array.ptr);
	if (!is_delta)
		replica_end_listing(replica, listing, position.revision);
	replica_advance(replica, position.revision);
}

err_code_t pullcodec_apply_response(replica_t *replica, str_t message,
				    pullcodec_applied_t *applied, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok = msgcodec_unpack(message, &unpacked) &&
		  is_response(&unpacked.data) &&
		  is_applicable(replica, unpacked.data.via.array.ptr);

	*applied = (pullcodec_applied_t){0};
	if (ok) {
		const msgpack_object *fields = unpacked.data.via.array.ptr;
		position_t position = read_position(fields);

		if (position.revision &&
		    position_is_newer(position, replica_position(replica))) {
			apply_response(replica, fields, position);
			*applied = (pullcodec_applied_t){
				.revision = position.revision,
				.is_delta = fields[2].via.boolean,
				.records = fields[3].via.array.size};
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-pull", "-",
			    "malformed response");
}
