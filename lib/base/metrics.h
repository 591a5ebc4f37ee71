#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdint.h>

#include "base/buf.h"

/*
 * metrics - counters of the process in Prometheus text form
 *
 * Counters are listed in metrics.def. Each may have one label, whose values
 * are taken on first use, at most METRICS_MAX_LABELS a counter; later values
 * count under "other". Updates are atomic and take no lock once a label value
 * is known.
 */
typedef enum metrics_id {
#define METRIC(id, name, label, help) METRIC_##id,
#include "base/metrics.def"
#undef METRIC
	METRIC_COUNT
} metrics_id_t;

#define METRICS_MAX_LABELS 32

/* Adds to the counter, under the label value `label` (empty: none). */
void metrics_add(metrics_id_t id, str_t label, uint64_t amount);

static inline void metrics_inc(metrics_id_t id)
{
	metrics_add(id, (str_t){"", 0}, 1);
}

/* Sum over all label values. */
uint64_t metrics_total(metrics_id_t id);

/* Appends the text page (format version 0.0.4). */
void metrics_render(buf_t *out);

#endif
