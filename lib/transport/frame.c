#include "transport/frame.h"

#include <arpa/inet.h>
#include <stdint.h>

void frame_append(buf_t *out, str_t content)
{
	uint32_t length = htonl((uint32_t)content.len);

	buf_append(out, &length, sizeof(length));
	buf_append_str(out, content);
}

size_t frame_length(str_t data)
{
	uint32_t length;

	if (data.len < FRAME_HEADER_BYTES)
		return 0;
	memcpy(&length, data.ptr, sizeof(length));
	return ntohl(length);
}

err_code_t frame_peek(str_t data, str_t *content)
{
	size_t length = frame_length(data);

	*content = (str_t){NULL, 0};
	if (data.len < FRAME_HEADER_BYTES)
		return ERR_OK;
	if (length > FRAME_MAX_BYTES)
		return ERR_TOO_LARGE;
	if (data.len - FRAME_HEADER_BYTES >= length)
		*content = (str_t){data.ptr + FRAME_HEADER_BYTES, length};
	return ERR_OK;
}
