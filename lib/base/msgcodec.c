#include "base/msgcodec.h"

int msgcodec_append(void *buf, const char *data, size_t len)
{
	buf_append(buf, data, len);
	return 0;
}

/*
 * Checks that the elements announced by array and map headers can all be in
 * the remaining bytes, since msgpack-c allocates by the headers. Returns the
 * number of bytes after the header at `p` and adds its elements to `more`.
 */
static size_t measure_item(const uint8_t *p, size_t left, uint64_t *more)
{
	static const uint8_t fixed[] = {/* nil to true */ 0,
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
		*more += (uint64_t)(*p & 0x0f) * (*p < 0x90 ? 2 : 1);
		return 0;
	}
	if (*p < 0xc0)
		return *p & 0x1f;
	header = fixed[*p - 0xc0];
	if (header >= left)
		return left;
	for (size_t i = 1; i <= header && i <= 4; i++)
		value = value << 8 | p[i];
	if (*p >= 0xdc)
		*more += *p >= 0xde ? 2 * value : value;
	else if ((*p >= 0xc4 && *p <= 0xc6) || (*p >= 0xd9 && *p <= 0xdb))
		return header + value;
	return header;
}

static bool is_bounded(str_t bytes)
{
	const uint8_t *p = (const uint8_t *)bytes.ptr;
	uint64_t pending = 1;
	size_t at = 0;

	while (pending) {
		size_t body;

		if (pending > bytes.len - at)
			return false;
		/* Extension types carry a body that this scan does not skip. */
		if (p[at] >= 0xc7 && p[at] <= 0xc9)
			return false;
		pending--;
		body = measure_item(p + at, bytes.len - at, &pending);
		at++;
		if (body > bytes.len - at)
			return false;
		at += body;
	}
	return at == bytes.len;
}

bool msgcodec_unpack(str_t bytes, msgpack_unpacked *result)
{
	msgpack_unpacked_init(result);
	return bytes.len && is_bounded(bytes) &&
	       msgpack_unpack_next(result, bytes.ptr, bytes.len, NULL) ==
		       MSGPACK_UNPACK_SUCCESS;
}
