#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>

#include "base/buf.h"

/*
 * histogram - durations in ms in fixed buckets, in Prometheus text format
 *
 * Updates are atomic and take no lock.
 */
typedef enum histogram_id {
	HISTOGRAM_FIRST_EVENT, /* request arrival to first stream event */
	HISTOGRAM_ANSWER, /* request arrival to end of the final response */
	HISTOGRAM_COUNT
} histogram_id_t;

/* Records a duration; a negative one counts as 0. */
void histogram_observe(histogram_id_t id, int64_t ms);

/* Appends all histograms in text format version 0.0.4. */
void histogram_render(buf_t *out);

#endif
