#include "coordination/pullcodec.h"

#include "base/msgcodec.h"

#define ANSWER_FIELDS 3
#define RECORD_FIELDS 3

void pullcodec_write_question(int64_t revision, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_int64(&packer, revision);
}

err_code_t pullcodec_read_question(str_t message, int64_t *revision, err_t *err)
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

/* Records are packed into a buffer of their own, to be counted first. */
typedef struct pack {
	msgpack_packer packer;
	buf_t records;
	size_t count;
} pack_t;

static void pack_record(void *user, str_t key, str_t value, int64_t revision)
{
	pack_t *pack = user;

	msgpack_pack_array(&pack->packer, RECORD_FIELDS);
	msgpack_pack_str_with_body(&pack->packer, key.ptr, key.len);
	msgpack_pack_int64(&pack->packer, revision);
	if (value.ptr)
		msgpack_pack_bin_with_body(&pack->packer, value.ptr, value.len);
	else
		msgpack_pack_nil(&pack->packer);
	pack->count++;
}

void pullcodec_write_answer(const replica_t *replica, int64_t after, buf_t *out)
{
	pack_t pack = {.records = BUF_INIT};
	msgpack_packer packer;
	bool changes;

	msgpack_packer_init(&pack.packer, &pack.records, msgcodec_append);
	changes = replica_changes(replica, after, pack_record, &pack);
	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, ANSWER_FIELDS);
	msgpack_pack_int64(&packer, replica_revision(replica));
	if (changes)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	msgpack_pack_array(&packer, pack.count);
	buf_append_str(out, buf_view(&pack.records));
	buf_release(&pack.records);
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

static bool is_answer(const msgpack_object *root)
{
	const msgpack_object *fields = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != ANSWER_FIELDS ||
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

static void apply(replica_t *replica, const msgpack_object *fields,
		  int64_t revision)
{
	bool changes = fields[1].via.boolean;

	if (!changes)
		replica_begin_listing(replica);
	for (uint32_t i = 0; i < fields[2].via.array.size; i++)
		apply_record(replica, fields[2].via.array.ptr[i].via.array.ptr);
	if (!changes)
		replica_end_listing(replica, revision);
	replica_advance(replica, revision);
}

err_code_t pullcodec_apply_answer(replica_t *replica, str_t message,
				  int64_t *revision, err_t *err)
{
	msgpack_unpacked unpacked;
	bool ok = msgcodec_unpack(message, &unpacked) &&
		  is_answer(&unpacked.data);

	*revision = 0;
	if (ok) {
		const msgpack_object *fields = unpacked.data.via.array.ptr;
		int64_t theirs = (int64_t)fields[0].via.u64;

		if (theirs > replica_revision(replica)) {
			apply(replica, fields, theirs);
			*revision = theirs;
		}
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-pull", "-",
			    "malformed answer");
}
