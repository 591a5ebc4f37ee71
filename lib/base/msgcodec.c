#include "base/msgcodec.h"

int msgcodec_append(void *buf, const char *data, size_t len)
{
	buf_append(buf, data, len);
	return 0;
}

/*
 * Scans the item whose type byte is at `p`, with `left` bytes from there to the
 * end of the message. Adds the elements of an array or map to `pending`.
 *
 * RETURN VALUE: the bytes of the item after its type byte, without elements.
 */
static size_t scan_item(const uint8_t *p, size_t left, uint64_t *pending)
{
	/* Bytes after the type byte, without string and binary data. */
	static const uint8_t header_bytes[] = {/* nil to true */ 0,
					       0,
					       0,
					       0,
					       /* bin, ext */ 1,
					       2,
					       4,
					       2,
					       3,
					       5,
					       /* float to int64 */ 4,
					       8,
					       1,
					       2,
					       4,
					       8,
					       1,
					       2,
					       4,
					       8,
					       /* fixext */ 2,
					       3,
					       5,
					       9,
					       17,
					       /* str, array, map */ 1,
					       2,
					       4,
					       2,
					       4,
					       2,
					       4};
	uint64_t value = 0;
	size_t header;

	if (*p < 0x80 || *p >= 0xe0)
		return 0;
	if (*p < 0xa0) {
		*pending += (uint64_t)(*p & 0x0f) * (*p < 0x90 ? 2 : 1);
		return 0;
	}
	if (*p < 0xc0)
		return *p & 0x1f;
	header = header_bytes[*p - 0xc0];
	if (header >= left)
		return left;
	for (size_t i = 1; i <= header && i <= 4; i++)
		value = value << 8 | p[i];
	if (*p >= 0xdc)
		*pending += *p >= 0xde ? 2 * value : value;
	else if ((*p >= 0xc4 && *p <= 0xc6) || (*p >= 0xd9 && *p <= 0xdb))
		return header + value;
	return header;
}

/* Checks that `bytes` is one item with all elements that its headers announce.
 */
static bool is_well_formed(str_t bytes)
{
	const uint8_t *p = (const uint8_t *)bytes.ptr;
	uint64_t pending = 1;
	size_t at = 0;

	while (pending) {
		size_t rest;

		if (pending > bytes.len - at)
			return false;
		/* scan_item() does not skip the payload of ext 8, 16, 32. */
		if (p[at] >= 0xc7 && p[at] <= 0xc9)
			return false;
		pending--;
		rest = scan_item(p + at, bytes.len - at, &pending);
		at++;
		if (rest > bytes.len - at)
			return false;
		at += rest;
	}
	return at == bytes.len;
}

bool msgcodec_unpack(str_t bytes, msgpack_unpacked *result)
{
	msgpack_unpacked_init(result);
	return bytes.len && is_well_formed(bytes) &&
	       msgpack_unpack_next(result, bytes.ptr, bytes.len, NULL) ==
		       MSGPACK_UNPACK_SUCCESS;
}

bool msgcodec_read_numbers(const msgpack_object *fields, uint64_t *numbers,
			   size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		numbers[i] = fields[i].via.u64;
	}
	return true;
}
