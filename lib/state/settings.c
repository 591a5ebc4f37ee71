#include "state/settings.h"

#include "state/tomlcheck.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_FILE_BYTES (1024L * 1024)
#define MIN_BODY_BYTES 1024
#define MAX_BODY_BYTES (1024L * 1024)
#define MAX_THREADS 1024
#define DEFAULT_THREADS 64

static const char *const level_names[] = {"debug", "info", "warn", "error",
					  NULL};

/* A copy of a text that the checks have accepted; NULL for an empty one. */
static char *copy_text(str_t text)
{
	char *copy;

	if (!text.len)
		return NULL;
	copy = str_dup(text);
	if (!copy)
		abort();
	return copy;
}

static void read_process(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const keys[] = {"host", "domain", "log_level", NULL};
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "process", TOMLCHECK_REQUIRED, &table))
		return;
	tomlcheck_keys(&table, keys);
	settings->host = copy_text(tomlcheck_get_name(&table, "host"));
	settings->domain = copy_text(tomlcheck_get_name(&table, "domain"));
	settings->log_level = (plog_level_t)tomlcheck_get_choice(
		&table, "log_level", level_names, PLOG_LEVEL_INFO);
}

static void read_listen(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const entry_keys[] = {"callers", "admin", NULL};
	static const char *const dispatch_keys[] = {"peers", "admin",
						    "advertise", NULL};
	bool is_entry = settings->role == SETTINGS_ENTRY;
	const char *key = is_entry ? "callers" : "peers";
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "listen", TOMLCHECK_REQUIRED, &table))
		return;
	tomlcheck_keys(&table, is_entry ? entry_keys : dispatch_keys);
	settings->listen = copy_text(
		tomlcheck_get_address(&table, key, TOMLCHECK_REQUIRED));
	settings->admin = copy_text(
		tomlcheck_get_address(&table, "admin", TOMLCHECK_REQUIRED));
	if (is_entry)
		return;
	settings->advertise = copy_text(
		tomlcheck_get_address(&table, "advertise", TOMLCHECK_OPTIONAL));
	if (!settings->advertise && settings->listen)
		settings->advertise = copy_text(str_from(settings->listen));
}

static void read_seeds(const tomlcheck_table_t *table, settings_t *settings)
{
	size_t count = tomlcheck_get_array(table, "seeds", 0,
					   SETTINGS_MAX_SEEDS, "addresses");

	for (size_t i = 0; i < count; i++) {
		char path[TOMLCHECK_PATH_BYTES];
		unsigned line;
		str_t value;

		if (!tomlcheck_get_string_element(table, "seeds", i, path,
						  &value, &line))
			continue;
		if (sheet_is_address(value))
			settings->seeds[settings->seed_count++] =
				copy_text(value);
		else
			tomlcheck_fault(table, path, line,
					"expected an address IP:PORT");
	}
}

static void read_peers(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const entry_keys[] = {"seeds", "local", NULL};
	static const char *const dispatch_keys[] = {"seeds", NULL};
	bool is_entry = settings->role == SETTINGS_ENTRY;
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "peers", TOMLCHECK_OPTIONAL, &table))
		return;
	tomlcheck_keys(&table, is_entry ? entry_keys : dispatch_keys);
	read_seeds(&table, settings);
	if (is_entry)
		settings->local_dispatch = copy_text(tomlcheck_get_address(
			&table, "local", TOMLCHECK_OPTIONAL));
}

static void read_platform(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const keys[] = {"address", "sheet_file", NULL};
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "platform", TOMLCHECK_OPTIONAL, &table))
		return;
	tomlcheck_keys(&table, keys);
	settings->platform = copy_text(
		tomlcheck_get_address(&table, "address", TOMLCHECK_OPTIONAL));
	settings->sheet_file =
		copy_text(tomlcheck_get_path(&table, "sheet_file"));
}

static void read_operator(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const keys[] = {"key_sha256", NULL};
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "operator", TOMLCHECK_REQUIRED, &table))
		return;
	tomlcheck_keys(&table, keys);
	tomlcheck_get_digest(&table, "key_sha256", settings->operator_digest);
}

static void read_trace(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const keys[] = {"file", NULL};
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "trace", TOMLCHECK_OPTIONAL, &table))
		return;
	tomlcheck_keys(&table, keys);
	settings->trace_file = copy_text(tomlcheck_get_path(&table, "file"));
}

static void read_limits(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const entry_keys[] = {"max_body_bytes", "threads",
						 NULL};
	static const char *const dispatch_keys[] = {"max_body_bytes", NULL};
	/* A body must fit into one frame between daemons. */
	static const tomlcheck_int_t body = {"max_body_bytes", MIN_BODY_BYTES,
					     MAX_BODY_BYTES, MAX_BODY_BYTES,
					     false};
	static const tomlcheck_int_t threads = {"threads", 1, MAX_THREADS,
						DEFAULT_THREADS, false};
	bool is_entry = settings->role == SETTINGS_ENTRY;
	tomlcheck_table_t table;

	settings->max_body_bytes = body.fallback;
	settings->threads = DEFAULT_THREADS;
	if (!tomlcheck_get_table(root, "limits", TOMLCHECK_OPTIONAL, &table))
		return;
	tomlcheck_keys(&table, is_entry ? entry_keys : dispatch_keys);
	settings->max_body_bytes = tomlcheck_get_int(&table, &body);
	if (is_entry)
		settings->threads =
			(unsigned)tomlcheck_get_int(&table, &threads);
}

settings_t *settings_parse(str_t text, const char *file, settings_role_t role,
			   buf_t *report)
{
	static const char *const keys[] = {"process",  "listen",   "peers",
					   "platform", "operator", "trace",
					   "limits",   NULL};
	tomlcheck_table_t root;
	tomlcheck_t check;
	settings_t *settings;

	if (!tomlcheck_open(&check, text, MAX_FILE_BYTES, file, report))
		return NULL;
	root = tomlcheck_root(&check);
	settings = calloc(1, sizeof(*settings));
	if (!settings)
		abort();
	settings->role = role;
	tomlcheck_keys(&root, keys);
	read_process(&root, settings);
	read_listen(&root, settings);
	read_peers(&root, settings);
	read_platform(&root, settings);
	read_operator(&root, settings);
	read_trace(&root, settings);
	read_limits(&root, settings);
	if (check.faults) {
		settings_free(settings);
		settings = NULL;
	}
	tomlcheck_close(&check);
	return settings;
}

settings_t *settings_load(const char *file, settings_role_t role, buf_t *report)
{
	settings_t *settings = NULL;
	buf_t text = BUF_INIT;
	FILE *stream = fopen(file, "r");
	char block[4096];
	size_t len;

	if (!stream) {
		buf_printf(report,
			   "%s:0: document: expected a readable file: "
			   "%s\n",
			   file, strerror(errno));
		return NULL;
	}
	/* Reads one block past the limit, which the parser then reports. */
	while (text.len <= MAX_FILE_BYTES &&
	       (len = fread(block, 1, sizeof(block), stream)) > 0)
		buf_append(&text, block, len);
	if (ferror(stream))
		buf_printf(report,
			   "%s:0: document: expected a readable file: read "
			   "error\n",
			   file);
	else
		settings = settings_parse(buf_view(&text), file, role, report);
	fclose(stream);
	buf_release(&text);
	return settings;
}

void settings_free(settings_t *settings)
{
	if (!settings)
		return;
	free(settings->host);
	free(settings->domain);
	free(settings->listen);
	free(settings->admin);
	free(settings->advertise);
	for (size_t i = 0; i < settings->seed_count; i++)
		free(settings->seeds[i]);
	free(settings->local_dispatch);
	free(settings->platform);
	free(settings->sheet_file);
	free(settings->trace_file);
	free(settings);
}
