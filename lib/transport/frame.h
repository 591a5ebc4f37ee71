#ifndef TRANSPORT_FRAME_H
#define TRANSPORT_FRAME_H

#include "base/buf.h"
#include "base/err.h"

/*
 * frame - length-prefixed frames in a byte stream
 *
 * A frame is a 4-byte big-endian length and that many bytes.
 */
#define FRAME_HEADER_BYTES 4
/* A full listing of a configuration with 45,000 customers takes about 5 MB. */
#define FRAME_MAX_BYTES (8 * 1024 * 1024)

/* Appends a frame with this content. */
void frame_append(buf_t *out, str_t content);

/*
 * Looks for a complete frame at the start of `data`.
 *
 * RETURN VALUE: ERR_OK with `content` set, its ptr NULL while the frame is
 * incomplete; ERR_TOO_LARGE as soon as the length is over FRAME_MAX_BYTES.
 */
err_code_t frame_peek(str_t data, str_t *content);

/* Content length of the frame at the start of `data`; 0 while unknown. */
size_t frame_length(str_t data);

#endif
