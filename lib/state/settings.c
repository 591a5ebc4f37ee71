#include "state/settings.h"

#include <stdio.h>
#include <stdlib.h>

#include "state/tomlcheck.h"

#define MAX_FILE_BYTES (1024L * 1024)
#define MIN_BODY_BYTES 1024
#define MAX_BODY_BYTES (16L * 1024 * 1024)
#define DEFAULT_BODY_BYTES (1024L * 1024)
#define MAX_MEMORY_MB (1024L * 1024)
#define MAX_FDS (1024L * 1024)
#define MAX_GRACE_S 86400
#define DEFAULT_GRACE_S 600
#define MAX_ACCEPT_MS 60000
#define DEFAULT_ACCEPT_MS 1000
#define MS_PER_S 1000
/* Retries beyond the ratio, for all hosts together. */
#define RETRY_BUDGET_SLACK 60.0

/* Strings of the document are freed with it, so each one that is kept is
 * copied, with a NUL, into `base.text`, which the settings own. */
typedef struct reader {
	settings_t *settings;
	size_t used; /* bytes of `base.text` */
	size_t size; /* of `base.text`, in bytes */
} reader_t;

/* All strings fit: each is at most as long as in the file, where its quotes
 * leave room for the NUL. */
static str_t copy_text(reader_t *reader, str_t text)
{
	char *at = reader->settings->base.text + reader->used;

	if (!text.len || reader->size - reader->used <= text.len)
		return (str_t){"", 0};
	memcpy(at, text.ptr, text.len);
	at[text.len] = '\0';
	reader->used += text.len + 1;
	return (str_t){at, text.len};
}

static void read_process(const tomlcheck_table_t *root, reader_t *reader)
{
	static const char *const keys[] = {"host", "domain", "grace_s",
					   "accept_ms", NULL};
	static const tomlcheck_int_t grace = {"grace_s", 1, MAX_GRACE_S,
					      DEFAULT_GRACE_S, false};
	static const tomlcheck_int_t accept = {"accept_ms", 0, MAX_ACCEPT_MS,
					       DEFAULT_ACCEPT_MS, false};
	hostsettings_t *base = &reader->settings->base;
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "process", TOMLCHECK_REQUIRED, &table))
		return;
	tomlcheck_check_keys(&table, keys);
	base->host = copy_text(reader, tomlcheck_get_name(&table, "host"));
	base->domain = copy_text(reader, tomlcheck_get_name(&table, "domain"));
	base->grace_ms = tomlcheck_get_int(&table, &grace) * MS_PER_S;
	base->accept_ms = tomlcheck_get_int(&table, &accept);
}

/* Sets `ip` and the ports from the address in [listen] peers. */
static void read_ports(reader_t *reader)
{
	hostsettings_t *base = &reader->settings->base;
	str_t address = base->listen_peers;
	const char *colon =
		address.len ? memchr(address.ptr, ':', address.len) : NULL;

	if (!colon)
		return;
	base->ip = copy_text(
		reader, (str_t){address.ptr, (size_t)(colon - address.ptr)});
	base->first_port = (unsigned)strtoul(colon + 1, NULL, 10);
	base->last_port = base->first_port + 1;
}

static void read_listen(const tomlcheck_table_t *root, reader_t *reader)
{
	static const char *const keys[] = {"callers", "peers", "admin", NULL};
	settings_t *settings = reader->settings;
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "listen", TOMLCHECK_REQUIRED, &table))
		return;
	tomlcheck_check_keys(&table, keys);
	settings->base.listen_callers =
		copy_text(reader, tomlcheck_get_address(&table, "callers",
							TOMLCHECK_REQUIRED));
	settings->base.listen_peers =
		copy_text(reader, tomlcheck_get_address(&table, "peers",
							TOMLCHECK_REQUIRED));
	settings->admin =
		copy_text(reader, tomlcheck_get_address(&table, "admin",
							TOMLCHECK_REQUIRED));
	read_ports(reader);
}

static void read_peers(const tomlcheck_table_t *root, reader_t *reader)
{
	static const char *const keys[] = {"seeds", NULL};
	hostsettings_t *base = &reader->settings->base;
	tomlcheck_table_t table;
	size_t count;

	if (!tomlcheck_get_table(root, "peers", TOMLCHECK_OPTIONAL, &table))
		return;
	tomlcheck_check_keys(&table, keys);
	count = tomlcheck_get_array(&table, "seeds", 0, HOSTSETTINGS_MAX_SEEDS,
				    "addresses");
	for (size_t i = 0; i < count; i++) {
		char path[TOMLCHECK_PATH_BYTES];
		unsigned line;
		str_t value;

		if (!tomlcheck_get_string_element(&table, "seeds", i, path,
						  &value, &line))
			continue;
		if (sheet_is_address(value))
			base->seeds[base->seed_count++] =
				copy_text(reader, value);
		else
			tomlcheck_report(&table, path, line,
					 "expected an address IP:PORT");
	}
}

/* Reads a table whose only key is `file`; empty without the table. */
static str_t read_file_table(const tomlcheck_table_t *root, const char *name,
			     reader_t *reader)
{
	static const char *const keys[] = {"file", NULL};
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, name, TOMLCHECK_OPTIONAL, &table))
		return (str_t){"", 0};
	tomlcheck_check_keys(&table, keys);
	return copy_text(reader, tomlcheck_get_path(&table, "file"));
}

static void read_operator(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const keys[] = {"key_sha256", NULL};
	tomlcheck_table_t table;

	if (!tomlcheck_get_table(root, "operator", TOMLCHECK_REQUIRED, &table))
		return;
	tomlcheck_check_keys(&table, keys);
	tomlcheck_get_digest(&table, "key_sha256", settings->operator_digest);
}

static void read_limits(const tomlcheck_table_t *root, settings_t *settings)
{
	static const char *const keys[] = {"max_body_bytes", "memory_mb",
					   "max_fds", NULL};
	static const tomlcheck_int_t memory = {"memory_mb", 0, MAX_MEMORY_MB, 0,
					       false};
	static const tomlcheck_int_t fds = {"max_fds", 0, MAX_FDS, 0, false};
	static const tomlcheck_int_t body = {"max_body_bytes", MIN_BODY_BYTES,
					     MAX_BODY_BYTES, DEFAULT_BODY_BYTES,
					     false};
	tomlcheck_table_t table;

	settings->max_body_bytes = DEFAULT_BODY_BYTES;
	if (!tomlcheck_get_table(root, "limits", TOMLCHECK_OPTIONAL, &table))
		return;
	tomlcheck_check_keys(&table, keys);
	settings->max_body_bytes = (size_t)tomlcheck_get_int(&table, &body);
	settings->base.memory_mb = (uint64_t)tomlcheck_get_int(&table, &memory);
	settings->base.max_fds = (uint64_t)tomlcheck_get_int(&table, &fds);
}

static void read_all(const tomlcheck_table_t *root, reader_t *reader)
{
	static const char *const keys[] = {"process",  "listen", "peers",
					   "sheet",    "trace",	 "limits",
					   "operator", NULL};
	settings_t *settings = reader->settings;

	tomlcheck_check_keys(root, keys);
	read_process(root, reader);
	read_listen(root, reader);
	read_peers(root, reader);
	settings->sheet_file = read_file_table(root, "sheet", reader);
	settings->trace_file = read_file_table(root, "trace", reader);
	read_operator(root, settings);
	read_limits(root, settings);
}

settings_t *settings_parse(str_t text, const char *file, buf_t *report)
{
	tomlcheck_table_t root;
	tomlcheck_t check;
	reader_t reader;

	if (!tomlcheck_open(&check, text, MAX_FILE_BYTES, file, report))
		return NULL;
	reader = (reader_t){calloc(1, sizeof(settings_t)), 0, text.len + 1};
	if (!reader.settings)
		abort();
	hostsettings_init(&reader.settings->base, text);
	reader.settings->base.retry_budget_slack = RETRY_BUDGET_SLACK;
	root = tomlcheck_root(&check);
	read_all(&root, &reader);
	if (check.faults) {
		settings_free(reader.settings);
		reader.settings = NULL;
	}
	tomlcheck_close(&check);
	return reader.settings;
}

settings_t *settings_load(const char *file, buf_t *report)
{
	settings_t *settings = NULL;
	buf_t text = BUF_INIT;
	err_t err;

	if (hostsettings_read_file(file, &text, &err))
		buf_printf(report,
			   "%s:0: document: expected a readable file: %s\n",
			   file, err.message);
	else
		settings = settings_parse(buf_view(&text), file, report);
	buf_release(&text);
	return settings;
}

void settings_free(settings_t *settings)
{
	if (!settings)
		return;
	hostsettings_release(&settings->base);
	free(settings);
}
