#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>

#include "base/buf.h"

/*
 * histogram - times in ms, counted in fixed buckets, in Prometheus text form
 *
 * Updates are atomic and take no lock.
 */
typedef enum histogram_id {
	HISTOGRAM_FIRST_EVENT, /* arrival to the first event of a stream */
	HISTOGRAM_ANSWER,      /* arrival to the end of the final answer */
	HISTOGRAM_COUNT
} histogram_id_t;

void histogram_observe(histogram_id_t id, int64_t ms);

/* Appends the text page (format version 0.0.4). */
void histogram_render(buf_t *out);

#endif
