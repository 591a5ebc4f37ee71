#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <jansson.h>

#include "base/buf.h"
#include "base/err.h"
#include "base/mclock.h"
#include "state/settings.h"
#include "state/sheet.h"

/*
 * ctl - parts of peridotctl
 *
 * Each ctl_run_*() function carries out one command and returns the exit
 * status of the process.
 */
#define CTL_EXIT_OK 0
#define CTL_EXIT_REFUSED 1 /* a host refused or could not be reached */
#define CTL_EXIT_USAGE 2   /* wrong arguments or a faulty file */

#define CTL_MAX_HOSTS 1024
#define CTL_MAX_FILES 2
#define CTL_DEFAULT_LIMIT_MS 3000
#define CTL_DEFAULT_WAIT_S 30
#define CTL_MAX_COLUMNS 12

typedef struct ctl_args {
	const char *files[CTL_MAX_FILES];
	size_t file_count;
	char *hosts[CTL_MAX_HOSTS]; /* admin addresses */
	size_t host_count;
	const char *key_file; /* NULL: PERIDOT_OPERATOR_KEY */
	int64_t limit_ms;     /* for one host's answer */
	bool json;
	int64_t wait_version; /* 0: don't wait */
	int64_t wait_s;
	const char *out;
	const char *domain;
	const char *endpoint;
	const char *state;
} ctl_args_t;

/* files.c: sheets and settings files */
int ctl_run_check(const ctl_args_t *args);
int ctl_run_check_settings(const ctl_args_t *args);

/* Reads a file of at most `max` bytes; false with the reason on standard
 * error. */
bool ctl_read_file(const char *path, size_t max, buf_t *out);
/* Writes a file under a temporary name and renames it. */
bool ctl_write_file(const char *path, str_t bytes);
/* Parses a sheet; NULL with the faults on standard error. */
sheet_t *ctl_parse_sheet(str_t text, const char *path);
sheet_t *ctl_load_sheet(const char *path);

/* diff.c: what differs between two sheets */
int ctl_run_diff(const ctl_args_t *args);
/* Appends one line per difference other than the version; returns their
 * number. */
size_t ctl_compare_sheets(const sheet_t *old, const sheet_t *new, buf_t *out);

/* edit.c */
int ctl_run_edit(const ctl_args_t *args);

/* fleet.c: requests to hosts */
typedef struct ctl_answer {
	const char *host;
	long http_status; /* 0: no answer */
	char error[ERR_MESSAGE_BYTES];
	buf_t body;
	json_t *json; /* body of an accepted request, when it is JSON */
} ctl_answer_t;

typedef struct ctl_question {
	const char *method; /* GET or POST */
	const char *path;
	str_t body;
} ctl_question_t;

/* Reads the operators' key; false with the reason on standard error. */
bool ctl_read_key(const ctl_args_t *args, buf_t *key);
/* Asks all hosts at once; the answers have the order of the hosts. */
ctl_answer_t *ctl_ask(const ctl_args_t *args, str_t key,
		      const ctl_question_t *question);
void ctl_free_answers(ctl_answer_t *answers, size_t count);
/* Number of hosts that refused or gave no answer; names them on standard
 * error. */
size_t ctl_report_failures(const ctl_answer_t *answers, size_t count);
int ctl_run_push(const ctl_args_t *args);
int ctl_run_drain(const ctl_args_t *args);
int ctl_run_metrics(const ctl_args_t *args);

/* show.c: tables of what the hosts report */
int ctl_run_status(const ctl_args_t *args);
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
/* Adds a cell; rows fill from left to right. */
void ctl_table_add(ctl_table_t *table, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Sorts the rows by their first two cells. */
void ctl_table_sort(ctl_table_t *table);
void ctl_table_print(const ctl_table_t *table, bool json);
void ctl_table_release(ctl_table_t *table);

#endif
