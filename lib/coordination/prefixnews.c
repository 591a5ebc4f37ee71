#include "coordination/prefixnews.h"

#include "base/msgcodec.h"

#define MESSAGE_FIELDS 2
/* Reserved part hash, for the key of a leaving endpoint. */
#define LEAVING_PART_HASH 0x6c656176696e6721ull

void prefixnews_add(prefixnews_t *news, uint64_t key)
{
	if (news->count == PREFIXNEWS_MAX_KEYS)
		news->dropped++;
	else
		news->keys[news->count++] = key;
}

void prefixnews_clear(prefixnews_t *news)
{
	news->count = 0;
	news->dropped = 0;
}

void prefixnews_add_parts(prefixnews_t *news, uint64_t engine,
			  const prompt_parts_t *parts)
{
	for (size_t i = 0; i + 1 < parts->count; i++)
		prefixnews_add(news, prefixmap_key(engine, parts->hashes[i]));
}

uint64_t prefixnews_leaving_key(uint64_t engine)
{
	return prefixmap_key(engine, LEAVING_PART_HASH);
}

/* In MessagePack the header of an array of fewer than 16 fields and a kind
 * below 128 take one byte each. */
bool prefixnews_is_message(str_t message)
{
	return message.len > 1 &&
	       (unsigned char)message.ptr[1] >= PREFIXNEWS_HOST &&
	       (unsigned char)message.ptr[1] <= PREFIXNEWS_RELAY;
}

void prefixnews_write(prefixnews_kind_t kind, const uint64_t *keys,
		      size_t count, buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint32(&packer, kind);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_uint64(&packer, keys[i]);
}

static bool are_valid_keys(const msgpack_object_array *array)
{
	for (uint32_t i = 0; i < array->size; i++)
		if (array->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	return true;
}

static bool is_message(const msgpack_object *root)
{
	const msgpack_object *fields = root->via.array.ptr;

	return root->type == MSGPACK_OBJECT_ARRAY &&
	       root->via.array.size == MESSAGE_FIELDS &&
	       fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       fields[0].via.u64 >= PREFIXNEWS_HOST &&
	       fields[0].via.u64 <= PREFIXNEWS_RELAY &&
	       fields[1].type == MSGPACK_OBJECT_ARRAY &&
	       are_valid_keys(&fields[1].via.array);
}

static void add_keys(const msgpack_object_array *array, prefixmap_t *map,
		     prefixnews_t *added)
{
	for (uint32_t i = 0; i < array->size; i++)
		if (prefixmap_add(map, array->ptr[i].via.u64))
			prefixnews_add(added, array->ptr[i].via.u64);
}

err_code_t prefixnews_read(str_t message, prefixmap_t *map,
			   prefixnews_kind_t *kind, prefixnews_t *added,
			   err_t *err)
{
	msgpack_unpacked unpacked;
	const msgpack_object *root = &unpacked.data;
	bool ok = msgcodec_unpack(message, &unpacked) && is_message(root);

	if (ok) {
		*kind = (prefixnews_kind_t)root->via.array.ptr[0].via.u64;
		add_keys(&root->via.array.ptr[1].via.array, map, added);
	}
	msgpack_unpacked_destroy(&unpacked);
	return ok ? ERR_OK :
		    err_set(err, ERR_INVALID, "read-prefix-news", "-",
			    "malformed message");
}
