#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <jansson.h>

#include "base/buf.h"
#include "base/err.h"
#include "base/mclock.h"
#include "state/settings.h"
#include "state/sheet.h"

/*
 * ctl - commands of peridotctl
 *
 * Each ctl_run_*() function runs one command and returns the exit status of
 * the process.
 */
#define CTL_EXIT_OK 0
#define CTL_EXIT_REFUSED 1 /* a host refused or could not be reached */
#define CTL_EXIT_WARNED 1  /* check-config: warnings, but no error */
#define CTL_EXIT_USAGE 2   /* wrong arguments or a faulty file */

#define CTL_MAX_HOSTS 1024
#define CTL_MAX_FILES 2
#define CTL_DEFAULT_RESPONSE_TIMEOUT_MS 3000
#define CTL_DEFAULT_WAIT_TIMEOUT_S 30
#define CTL_MAX_COLUMNS 12

typedef struct ctl_args {
	const char *files[CTL_MAX_FILES];
	size_t file_count;
	char *hosts[CTL_MAX_HOSTS]; /* admin addresses */
	size_t host_count;
	const char *key_file;	     /* NULL: read PERIDOT_OPERATOR_KEY */
	int64_t response_timeout_ms; /* per host */
	bool json;
	int64_t wait_version; /* minimum sheet version; 0: don't wait */
	int64_t wait_timeout_s;
	const char *out_path;
	const char *domain;
	const char *endpoint;
	const char *state;
	const char *in_force; /* file of the configuration in force */
} ctl_args_t;

/* files.c: sheets and settings files */
int ctl_run_check(const ctl_args_t *args);
int ctl_run_check_settings(const ctl_args_t *args);

/* Reads a file and stops soon after `max` bytes, so that the caller can detect
 * a larger file. Returns false and prints the reason to standard error on
 * failure. */
bool ctl_read_file(const char *path, size_t max, buf_t *out);
/* Writes a temporary file and renames it to `path`. Returns false and prints
 * the reason to standard error on failure. */
bool ctl_write_file(const char *path, str_t bytes);
/* Parses a sheet. Returns NULL and prints the faults to standard error if it is
 * invalid. */
sheet_t *ctl_parse_sheet(str_t text, const char *path);
sheet_t *ctl_load_sheet(const char *path);

/* config.c: configurations of the platform */
int ctl_run_check_config(const ctl_args_t *args);

/* diff.c: differences between two sheets */
int ctl_run_diff(const ctl_args_t *args);
/* Appends one line per difference, ignoring the version. Returns the number of
 * differences. */
size_t ctl_compare_sheets(const sheet_t *old, const sheet_t *new, buf_t *out);

/* edit.c: changes to the text of a sheet */
int ctl_run_edit(const ctl_args_t *args);

/* fleet.c: requests to hosts */
typedef struct ctl_response {
	const char *host;
	long http_status;	       /* 0: no response */
	char error[ERR_MESSAGE_BYTES]; /* set unless http_status is 200 */
	buf_t body;
	json_t *json; /* body of a 200 response; NULL if it is not JSON */
} ctl_response_t;

typedef struct ctl_request {
	const char *method; /* GET or POST */
	const char *path;
	str_t body;
} ctl_request_t;

/* Reads the operator key. Returns false and prints the reason to standard error
 * on failure. */
bool ctl_read_key(const ctl_args_t *args, buf_t *key);
/* Sends the request to all hosts in parallel. Returns one response per host, in
 * the order of args->hosts; free them with ctl_free_responses(). */
ctl_response_t *ctl_request_all(const ctl_args_t *args, str_t key,
				const ctl_request_t *request);
void ctl_free_responses(ctl_response_t *responses, size_t count);
/* Prints the hosts that refused or did not respond to standard error. Returns
 * their number. */
size_t ctl_report_failures(const ctl_response_t *responses, size_t count);
int ctl_run_push(const ctl_args_t *args);
int ctl_run_drain(const ctl_args_t *args);
int ctl_run_metrics(const ctl_args_t *args);

/* status.c: the status that hosts report */
/* Requests the status of all hosts. Returns NULL if there is no operator key; a
 * response that is not JSON counts as unreachable. */
ctl_response_t *ctl_request_status(const ctl_args_t *args);
/* Fields of a status; 0, "-" or false when one is missing. */
json_int_t ctl_get_int(const json_t *json, const char *key);
const char *ctl_get_text(const json_t *json, const char *key);
bool ctl_is_set(const json_t *json, const char *key);

/* show.c: the status of each host */
int ctl_run_status(const ctl_args_t *args);

/* totals.c: endpoints, classes and domains, summed over all hosts */
int ctl_run_endpoints(const ctl_args_t *args);
int ctl_run_classes(const ctl_args_t *args);
int ctl_run_domains(const ctl_args_t *args);

/* table.c: aligned text or JSON */
typedef struct ctl_table {
	const char *const *columns; /* ends with NULL */
	char **cells;
	size_t column_count;
	size_t cell_count;
} ctl_table_t;

void ctl_table_init(ctl_table_t *table, const char *const *columns);
/* Appends a cell; each row is filled from left to right. */
void ctl_table_add(ctl_table_t *table, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Sorts the rows by their first two columns. */
void ctl_table_sort(ctl_table_t *table);
void ctl_table_print(const ctl_table_t *table, bool json);
void ctl_table_release(ctl_table_t *table);

#endif
