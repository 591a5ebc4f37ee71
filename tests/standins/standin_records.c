#include "standin.h"

#include "base/mclock.h"

/* The log keeps the newest requests. The run table is filled to one half; runs
 * of further keys are only counted as dropped. */
#define LOG_ENTRIES 4096
#define RUN_KEYS 16384

typedef struct log_entry {
	int64_t wall_ms;
	char key[STANDIN_KEY_MAX];
	char path[STANDIN_KEY_MAX];
	const char *note;
} log_entry_t;

typedef struct run_entry {
	char key[STANDIN_KEY_MAX];
	long runs;
} run_entry_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log_entry_t requests[LOG_ENTRIES];
static run_entry_t runs[RUN_KEYS];
static long run_keys, runs_dropped, received;
static standin_counter_t max_runs;

void standin_log_request(const char *key, const char *path, const char *note)
{
	log_entry_t *entry;

	pthread_mutex_lock(&lock);
	entry = &requests[received++ % LOG_ENTRIES];
	entry->wall_ms = mclock_wall_ms(mclock_system());
	str_copy(entry->key, sizeof(entry->key), str_from(key));
	str_copy(entry->path, sizeof(entry->path), str_from(path));
	entry->note = note;
	pthread_mutex_unlock(&lock);
}

long standin_count_run(const char *key)
{
	size_t slot =
		standin_hash(STANDIN_HASH_START, str_from(key)) % RUN_KEYS;
	long number = 0;

	pthread_mutex_lock(&lock);
	while (runs[slot].runs &&
	       strncmp(runs[slot].key, key, STANDIN_KEY_MAX - 1) != 0)
		slot = (slot + 1) % RUN_KEYS;
	if (!runs[slot].runs && run_keys >= RUN_KEYS / 2) {
		runs_dropped++;
	} else {
		if (!runs[slot].runs)
			run_keys++;
		str_copy(runs[slot].key, STANDIN_KEY_MAX, str_from(key));
		number = ++runs[slot].runs;
		standin_raise_peak(&max_runs, number);
	}
	pthread_mutex_unlock(&lock);
	return number;
}

void standin_append_records(buf_t *out)
{
	long last;
	const char *comma = "";

	pthread_mutex_lock(&lock);
	last = received;
	buf_printf(out,
		   "\"received\":%ld,\"max_runs\":%ld,\"runs_dropped\":%ld,"
		   "\"runs\":{",
		   received, (long)max_runs, runs_dropped);
	for (size_t i = 0; i < RUN_KEYS; i++) {
		if (!runs[i].runs)
			continue;
		buf_printf(out, "%s", comma);
		buf_append_json(out, str_from(runs[i].key));
		buf_printf(out, ":%ld", runs[i].runs);
		comma = ",";
	}
	buf_printf(out, "},\"requests\":[");
	for (long i = last > LOG_ENTRIES ? last - LOG_ENTRIES : 0; i < last;
	     i++) {
		const log_entry_t *entry = &requests[i % LOG_ENTRIES];

		buf_printf(out, "{\"wall_ms\":%lld,\"note\":\"%s\",\"key\":",
			   (long long)entry->wall_ms, entry->note);
		buf_append_json(out, str_from(entry->key));
		buf_printf(out, ",\"path\":");
		buf_append_json(out, str_from(entry->path));
		buf_printf(out, i + 1 < last ? "}," : "}");
	}
	pthread_mutex_unlock(&lock);
	buf_printf(out, "]");
}
