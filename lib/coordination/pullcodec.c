#include "coordination/pullcodec.h"

#include "base/msgcodec.h"

#define RESPONSE_FIELDS 3 /* revision, is_delta, records */
#define RECORD_FIELDS 3	  /* key, revision, value */

void pullcodec_write_request(int64_t revision, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_int64(&packer, revision);
}

err_code_t pullcodec_read_request(str_t message, int64_t *revision, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok = msgcodec_unpack(message, &unpacked) &&
		  unpacked.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		  unpacked.data.via.u64 <= INT64_MAX;

	if (ok)
		*revision = (int64_t)unpacked.data.via.u64;
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-question", "-",
			    "not a revision");
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

void pullcodec_write_response(const replica_t *replica, int64_t after_revision,
			      buf_t *out)
{
	record_list_t list = {.records = BUF_INIT};
	msgpack_packer packer;
	bool is_delta;

	msgpack_packer_init(&list.packer, &list.records, msgcodec_append);
	is_delta = replica_changes(replica, after_revision, pack_record, &list);
	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, RESPONSE_FIELDS);
	msgpack_pack_int64(&packer, replica_revision(replica));
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
	       fields[0].type == MSGPACK_OBJECT_STR &&
	       fields[1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       fields[1].via.u64 <= INT64_MAX &&
	       (fields[2].type == MSGPACK_OBJECT_BIN ||
		fields[2].type == MSGPACK_OBJECT_NIL);
}

static bool is_response(const msgpack_object *root)
{
	const msgpack_object *fields = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != RESPONSE_FIELDS ||
	    fields[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[0].via.u64 > INT64_MAX ||
	    fields[1].type != MSGPACK_OBJECT_BOOLEAN ||
	    fields[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < fields[2].via.array.size; i++)
		if (!is_record(&fields[2].via.array.ptr[i]))
			return false;
	return true;
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
			   int64_t revision)
{
	bool is_delta = fields[1].via.boolean;

	if (!is_delta)
		replica_begin_listing(replica);
	for (uint32_t i = 0; i < fields[2].via.array.size; i++)
		apply_record(replica, fields[2].via.array.ptr[i].via.array.ptr);
	if (!is_delta)
		replica_end_listing(replica, revision);
	replica_advance(replica, revision);
}

err_code_t pullcodec_apply_response(replica_t *replica, str_t message,
				    int64_t *revision, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok = msgcodec_unpack(message, &unpacked) &&
		  is_response(&unpacked.data);

	*revision = 0;
	if (ok) {
		const msgpack_object *fields = unpacked.data.via.array.ptr;
		int64_t peer_revision = (int64_t)fields[0].via.u64;

		if (peer_revision > replica_revision(replica)) {
			apply_response(replica, fields, peer_revision);
			*revision = peer_revision;
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-pull", "-",
			    "malformed response");
}
