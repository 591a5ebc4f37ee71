#ifndef BASE_MSGCODEC_H
#define BASE_MSGCODEC_H

#include <msgpack.h>

#include "base/buf.h"

/*
 * msgcodec - msgpack to and from other processes
 *
 * msgpack-c allocates by the sizes that headers announce, before it has seen
 * the elements: a datagram of some bytes can ask for gigabytes. Messages are
 * unpacked only if they can have as many elements as they announce.
 */

/* The writer of a msgpack_packer whose user data is a buf_t. */
int msgcodec_append(void *buf, const char *data, size_t len);

/*
 * Unpacks one object, which must make up all the bytes; extension types are
 * refused. `result` must be destroyed in either case.
 */
bool msgcodec_unpack(str_t bytes, msgpack_unpacked *result);

#endif
