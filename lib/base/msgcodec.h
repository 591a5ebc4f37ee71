#ifndef BASE_MSGCODEC_H
#define BASE_MSGCODEC_H

#include <msgpack.h>

#include "base/buf.h"

/*
 * msgcodec - msgpack encoding, and safe decoding of untrusted messages
 *
 * msgpack-c allocates memory by the element counts in array and map headers
 * before it has seen the elements, so a datagram of a few bytes can request
 * gigabytes. msgcodec_unpack() first checks that all announced elements are
 * present.
 */

/* Write callback for a msgpack_packer whose user data is a buf_t. */
int msgcodec_append(void *buf, const char *data, size_t len);

/*
 * Unpacks one object that must span all of `bytes`; extension types of variable
 * length (ext 8, 16, 32) are rejected. The caller must destroy `result` in
 * either case.
 *
 * RETURN VALUE: false when malformed.
 */
bool msgcodec_unpack(str_t bytes, msgpack_unpacked *result);

/* Reads `count` numbers. RETURN VALUE: false when a field isn't one, or is
 * negative. */
bool msgcodec_read_numbers(const msgpack_object *fields, uint64_t *numbers,
			   size_t count);

#endif
