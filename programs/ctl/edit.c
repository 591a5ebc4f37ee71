#include "ctl.h"

#include <ctype.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include "state/sheetcheck.h"
#include "state/toml.h"

#define TOML_MESSAGE_BYTES 128
#define SPACE " \t"
#define DECIMAL_DIGITS "0123456789_"

/* A part of the text, from its first byte to the one after its last. */
typedef struct span {
	size_t from;
	size_t to;
} span_t;

/* What to put in place of a part of the text. */
typedef struct change {
	span_t span;
	char text[128];
} change_t;

static int refuse_edit(const char *file, unsigned line, const char *key,
		       const char *expected)
{
	fprintf(stderr, "%s:%u: %s: expected %s\n", file, line, key, expected);
	return CTL_EXIT_USAGE;
}

/* The line, counted from 1, without its end. */
static span_t find_line(str_t text, unsigned line)
{
	span_t span = {0, 0};

	while (--line && span.from < text.len) {
		const char *end = memchr(text.ptr + span.from, '\n',
					 text.len - span.from);

		span.from = end ? (size_t)(end - text.ptr) + 1 : text.len;
	}
	span.to = span.from;
	while (span.to < text.len && text.ptr[span.to] != '\n' &&
	       text.ptr[span.to] != '\r')
		span.to++;
	return span;
}

static size_t skip(str_t text, size_t at, size_t end, const char *set)
{
	while (at < end && strchr(set, text.ptr[at]) && text.ptr[at])
		at++;
	return at;
}

/*
 * Finds the value in a line that holds nothing but KEY = VALUE and maybe a
 * comment; VALUE is a basic string or a decimal integer.
 */
static bool find_value(str_t text, unsigned line, const char *key, span_t *out)
{
	span_t whole = find_line(text, line);
	size_t at = skip(text, whole.from, whole.to, SPACE);
	size_t length = strlen(key);

	if (!line || whole.to - at < length ||
	    memcmp(text.ptr + at, key, length) != 0)
		return false;
	at = skip(text, at + length, whole.to, SPACE);
	if (at == whole.to || text.ptr[at] != '=')
		return false;
	at = skip(text, at + 1, whole.to, SPACE);
	out->from = at;
	if (at < whole.to && text.ptr[at] == '"') {
		do
			at++;
		while (at < whole.to && text.ptr[at] != '"' &&
		       text.ptr[at] != '\\');
		if (at == whole.to || text.ptr[at] != '"')
			return false;
		at++;
	} else {
		at = skip(text, at, whole.to, DECIMAL_DIGITS);
	}
	out->to = at;
	at = skip(text, at, whole.to, SPACE);
	return out->to > out->from && (at == whole.to || text.ptr[at] == '#');
}

/* The table of the array whose name is this, or NULL. */
static const toml_node_t *find_table(const toml_doc_t *doc, const char *array,
				     str_t name)
{
	const toml_node_t *rows =
		toml_table_get(toml_root(doc), str_from(array));

	for (size_t i = 0; rows && i < toml_array_size(rows); i++) {
		const toml_node_t *row = toml_array_at(rows, i);
		str_t value;

		if (toml_get_string(toml_table_get(row, STR_LIT("name")),
				    &value) &&
		    str_equals(value, name))
			return row;
	}
	return NULL;
}

static bool has_carriage_return(str_t text, size_t at)
{
	return at < text.len && text.ptr[at] == '\r';
}

/* Replaces the state, or adds one in a line after the name. */
static bool change_state(str_t text, const toml_node_t *row, const char *state,
			 unsigned *line, change_t *change)
{
	const toml_node_t *value = toml_table_get(row, STR_LIT("state"));

	if (value) {
		*line = toml_line_of(value);
		snprintf(change->text, sizeof(change->text), "\"%s\"", state);
		return find_value(text, *line, "state", &change->span);
	}
	*line = toml_line_of(toml_table_get(row, STR_LIT("name")));
	if (!find_value(text, *line, "name", &change->span))
		return false;
	change->span = find_line(text, *line);
	change->span.from = change->span.to;
	snprintf(change->text, sizeof(change->text), "%s\nstate = \"%s\"",
		 has_carriage_return(text, change->span.to) ? "\r" : "", state);
	return true;
}

static void append_change(buf_t *out, str_t text, size_t *done,
			  const change_t *change)
{
	buf_append(out, text.ptr + *done, change->span.from - *done);
	buf_append_str(out, str_from(change->text));
	*done = change->span.to;
}

/* Version and state in the order of the text. */
static void apply_changes(buf_t *out, str_t text, const change_t *version,
			  const change_t *state)
{
	bool version_first = version->span.from < state->span.from;
	size_t done = 0;

	append_change(out, text, &done, version_first ? version : state);
	append_change(out, text, &done, version_first ? state : version);
	buf_append(out, text.ptr + done, text.len - done);
}

/* A plan in effect may be further out than the state that was asked for. */
static void note_plan(const ctl_args_t *args, const sheet_t *sheet)
{
	static const char *const names[] = {"up", "leaving", "out"};
	const sheet_domain_t *domain;
	sheet_state_t state;

	if (!args->domain)
		return;
	domain = &sheet->domains[sheet_find_domain(sheet,
						   str_from(args->domain))];
	state = sheet_domain_state(domain, time(NULL));
	if (state != domain->state)
		printf("note: a plan makes domain %s %s now\n", args->domain,
		       names[state]);
}

/* Checks that the edited sheet differs in the version and one state only. */
static bool check_result(const ctl_args_t *args, const sheet_t *old, str_t text)
{
	sheet_t *new = ctl_parse_sheet(text, args->out);
	buf_t lines = BUF_INIT;
	buf_t wanted = BUF_INIT;
	bool good = false;

	if (!new)
		return false;
	buf_printf(&wanted,
		   "%s %s: state: ", args->domain ? "domain" : "endpoint",
		   args->domain ? args->domain : args->endpoint);
	good = new->version == old->version + 1 &&
	       ctl_compare_sheets(old, new, &lines) == 1 &&
	       str_starts_with(buf_view(&lines), buf_view(&wanted));
	if (good) {
		printf("version: %llu -> %llu\n%" STR_FMT,
		       (unsigned long long)old->version,
		       (unsigned long long)new->version,
		       STR_ARG(buf_view(&lines)));
		note_plan(args, new);
	} else {
		fprintf(stderr,
			"%s:0: document: expected a sheet in which "
			"only one state changes\n",
			args->files[0]);
	}
	buf_release(&lines);
	buf_release(&wanted);
	sheet_free(new);
	return good;
}

static int edit_text(const ctl_args_t *args, const sheet_t *old,
		     const toml_doc_t *doc, str_t text, buf_t *out)
{
	const char *file = args->files[0];
	const char *array = args->domain ? "domain" : "endpoint";
	const char *name = args->domain ? args->domain : args->endpoint;
	const toml_node_t *row = find_table(doc, array, str_from(name));
	change_t version, state;
	unsigned line;

	if (!row) {
		fprintf(stderr, "%s:0: %s: expected one with the name %s\n",
			file, array, name);
		return CTL_EXIT_USAGE;
	}
	line = toml_line_of(toml_table_get(toml_root(doc), STR_LIT("version")));
	if (old->version == INT64_MAX ||
	    !find_value(text, line, "version", &version.span))
		return refuse_edit(file, line, "version",
				   "a line of its own with a decimal number "
				   "that can be raised");
	snprintf(version.text, sizeof(version.text), "%llu",
		 (unsigned long long)old->version + 1);
	if (!change_state(text, row, args->state, &line, &state))
		return refuse_edit(file, line, array,
				   "state, or name without state, in a line of "
				   "its own");
	apply_changes(out, text, &version, &state);
	if (!check_result(args, old, buf_view(out)))
		return CTL_EXIT_USAGE;
	return CTL_EXIT_OK;
}

/* The state that the table itself has, which no plan changes. */
static int find_state(const ctl_args_t *args, const sheet_t *sheet)
{
	int at;

	if (args->domain) {
		at = sheet_find_domain(sheet, str_from(args->domain));
		return at < 0 ? -1 : (int)sheet->domains[at].state;
	}
	at = sheet_find_endpoint(sheet, str_from(args->endpoint));
	return at < 0 ? -1 : (int)sheet->endpoints[at].state;
}

int ctl_run_edit(const ctl_args_t *args)
{
	static const char *const names[] = {"up", "leaving", "out"};
	char message[TOML_MESSAGE_BYTES];
	buf_t text = BUF_INIT, out = BUF_INIT;
	sheet_t *old = NULL;
	toml_doc_t *doc = NULL;
	unsigned line;
	int status = CTL_EXIT_USAGE;
	int state;

	if (!ctl_read_file(args->files[0], SHEETCHECK_MAX_BYTES, &text))
		goto done;
	old = ctl_parse_sheet(buf_view(&text), args->files[0]);
	if (!old)
		goto done;
	state = find_state(args, old);
	if (state >= 0 && !strcmp(names[state], args->state)) {
		fprintf(stderr,
			"%s:0: state: expected another state than %s, "
			"which it has\n",
			args->files[0], args->state);
		goto done;
	}
	doc = toml_read(buf_view(&text), &line, message, sizeof(message));
	if (!doc)
		goto done;
	status = edit_text(args, old, doc, buf_view(&text), &out);
	if (status == CTL_EXIT_OK && !ctl_write_file(args->out, buf_view(&out)))
		status = CTL_EXIT_USAGE;
done:
	toml_free(doc);
	sheet_free(old);
	buf_release(&text);
	buf_release(&out);
	return status;
}
