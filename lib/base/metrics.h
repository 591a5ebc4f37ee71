#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdint.h>

#include "base/buf.h"

/*
 * metrics - process-wide counters in Prometheus text format
 *
 * Counters are listed in metrics.def. Each may have one label. A label value
 * gets its series on first use, up to METRICS_MAX_LABELS per counter; further
 * values are counted as "other". Updates are atomic and take no lock once the
 * label value has a series.
 */
typedef enum metrics_id {
#define METRIC(id, name, label, help) METRIC_##id,
#include "base/metrics.def"
#undef METRIC
	METRIC_COUNT
} metrics_id_t;

#define METRICS_MAX_LABELS 32

/* Adds to the series with the label value `label` (empty: no label). */
void metrics_add(metrics_id_t id, str_t label, uint64_t amount);

static inline void metrics_inc(metrics_id_t id)
{
	metrics_add(id, (str_t){"", 0}, 1);
}

/* Sum over all label values. */
uint64_t metrics_total(metrics_id_t id);

/* Appends all counters in text format version 0.0.4. */
void metrics_render(buf_t *out);

#endif
