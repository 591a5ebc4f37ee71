#include "base/metrics.h"

#include <pthread.h>
#include <stdatomic.h>

#define LABEL_BYTES 48

typedef struct series {
	char label[LABEL_BYTES];
	_Atomic uint64_t value;
} series_t;

typedef struct metric {
	_Atomic unsigned series_count;
	series_t series[METRICS_MAX_LABELS + 1]; /* the last one is "other" */
} metric_t;

typedef struct metric_info {
	const char *name;
	const char *label;
	const char *help;
} metric_info_t;

static const metric_info_t infos[] = {
#define METRIC(id, name, label, help) {name, label, help},
#include "base/metrics.def"
#undef METRIC
};

static metric_t metrics[METRIC_COUNT];
static pthread_mutex_t label_lock = PTHREAD_MUTEX_INITIALIZER;

static series_t *find_series(metric_t *metric, str_t label)
{
	unsigned count = atomic_load_explicit(&metric->series_count,
					      memory_order_acquire);

	for (unsigned i = 0; i < count; i++)
		if (str_equals(str_from(metric->series[i].label), label))
			return &metric->series[i];
	return NULL;
}

static series_t *add_series(metric_t *metric, str_t label)
{
	series_t *series;
	unsigned count;

	pthread_mutex_lock(&label_lock);
	series = find_series(metric, label);
	count = atomic_load(&metric->series_count);
	if (!series && count < METRICS_MAX_LABELS) {
		series = &metric->series[count];
		str_copy(series->label, sizeof(series->label), label);
		atomic_store_explicit(&metric->series_count, count + 1,
				      memory_order_release);
	}
	pthread_mutex_unlock(&label_lock);
	return series ? series : &metric->series[METRICS_MAX_LABELS];
}

void metrics_add(metrics_id_t id, str_t label, uint64_t amount)
{
	metric_t *metric = &metrics[id];
	series_t *series;

	if (label.len >= LABEL_BYTES)
		label.len = LABEL_BYTES - 1;
	series = find_series(metric, label);
	if (!series)
		series = add_series(metric, label);
	atomic_fetch_add_explicit(&series->value, amount, memory_order_relaxed);
}

uint64_t metrics_total(metrics_id_t id)
{
	uint64_t total = 0;

	for (unsigned i = 0; i <= METRICS_MAX_LABELS; i++)
		total += atomic_load(&metrics[id].series[i].value);
	return total;
}

static void render_series(buf_t *out, const metric_info_t *info,
			  const char *label, uint64_t value)
{
	buf_append_str(out, str_from(info->name));
	if (*info->label) {
		buf_printf(out, "{%s=", info->label);
		buf_append_json(out, str_from(label));
		buf_append(out, "}", 1);
	}
	buf_printf(out, " %llu\n", (unsigned long long)value);
}

static void render_metric(buf_t *out, metrics_id_t id)
{
	const metric_info_t *info = &infos[id];
	metric_t *metric = &metrics[id];
	unsigned count = atomic_load(&metric->series_count);
	uint64_t other = atomic_load(&metric->series[METRICS_MAX_LABELS].value);

	buf_printf(out, "# HELP %s %s\n# TYPE %s counter\n", info->name,
		   info->help, info->name);
	if (!*info->label) {
		render_series(out, info, "", metrics_total(id));
		return;
	}
	for (unsigned i = 0; i < count; i++)
		render_series(out, info, metric->series[i].label,
			      atomic_load(&metric->series[i].value));
	if (other)
		render_series(out, info, "other", other);
}

void metrics_render(buf_t *out)
{
	for (int id = 0; id < METRIC_COUNT; id++)
		render_metric(out, (metrics_id_t)id);
}
