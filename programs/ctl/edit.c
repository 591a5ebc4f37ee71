#include "ctl.h"

#include <ctype.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include "state/sheetcheck.h"
#include "state/toml.h"

#define TOML_MESSAGE_BYTES 128
#define BLANKS " \t"
#define DECIMAL_DIGITS "0123456789_"

/* Byte range of the text; `end` is exclusive. */
typedef struct span {
	size_t start;
	size_t end;
} span_t;

/* New text for a span. */
typedef struct replacement {
	span_t span;
	char text[128];
} replacement_t;

static int report_edit_error(const char *file, unsigned line, const char *key,
			     const char *expected)
{
	fprintf(stderr, "%s:%u: %s: expected %s\n", file, line, key, expected);
	return CTL_EXIT_USAGE;
}

/* Returns the span of a line, counted from 1, without its line end. */
static span_t find_line(str_t text, unsigned line)
{
	span_t span = {0, 0};

	while (--line && span.start < text.len) {
		const char *end = memchr(text.ptr + span.start, '\n',
					 text.len - span.start);

		span.start = end ? (size_t)(end - text.ptr) + 1 : text.len;
	}
	span.end = span.start;
	while (span.end < text.len && text.ptr[span.end] != '\n' &&
	       text.ptr[span.end] != '\r')
		span.end++;
	return span;
}

/* Returns the first position from `pos` on whose byte is not in `set`. */
static size_t skip_bytes(str_t text, size_t pos, size_t end, const char *set)
{
	while (pos < end && strchr(set, text.ptr[pos]) && text.ptr[pos])
		pos++;
	return pos;
}

/*
 * Finds the value in a line that consists of KEY = VALUE and an optional
 * comment; VALUE is a basic string without escapes or a decimal integer.
 * Returns false if the line has another form.
 */
static bool find_value_span(str_t text, unsigned line, const char *key,
			    span_t *out)
{
	span_t line_span = find_line(text, line);
	size_t pos = skip_bytes(text, line_span.start, line_span.end, BLANKS);
	size_t length = strlen(key);

	if (!line || line_span.end - pos < length ||
	    memcmp(text.ptr + pos, key, length) != 0)
		return false;
	pos = skip_bytes(text, pos + length, line_span.end, BLANKS);
	if (pos == line_span.end || text.ptr[pos] != '=')
		return false;
	pos = skip_bytes(text, pos + 1, line_span.end, BLANKS);
	out->start = pos;
	if (pos < line_span.end && text.ptr[pos] == '"') {
		do
			pos++;
		while (pos < line_span.end && text.ptr[pos] != '"' &&
		       text.ptr[pos] != '\\');
		if (pos == line_span.end || text.ptr[pos] != '"')
			return false;
		pos++;
	} else {
		pos = skip_bytes(text, pos, line_span.end, DECIMAL_DIGITS);
	}
	out->end = pos;
	pos = skip_bytes(text, pos, line_span.end, BLANKS);
	return out->end > out->start &&
	       (pos == line_span.end || text.ptr[pos] == '#');
}

/* Returns the table of the array with this `name`, or NULL. */
static const toml_node_t *find_named_table(const toml_doc_t *doc,
					   const char *array, str_t name)
{
	const toml_node_t *tables =
		toml_table_get(toml_root(doc), str_from(array));

	for (size_t i = 0; tables && i < toml_array_size(tables); i++) {
		const toml_node_t *table = toml_array_at(tables, i);
		str_t value;

		if (toml_get_string(toml_table_get(table, STR_LIT("name")),
				    &value) &&
		    str_equals(value, name))
			return table;
	}
	return NULL;
}

static bool has_carriage_return(str_t text, size_t at)
{
	return at < text.len && text.ptr[at] == '\r';
}

/* Replaces the value of `state`, or adds a `state` line after the `name` line.
 * Returns false if find_value_span() rejects that line. */
static bool replace_state(str_t text, const toml_node_t *table,
			  const char *state, unsigned *line,
			  replacement_t *replacement)
{
	const toml_node_t *value = toml_table_get(table, STR_LIT("state"));

	if (value) {
		*line = toml_line_of(value);
		snprintf(replacement->text, sizeof(replacement->text), "\"%s\"",
			 state);
		return find_value_span(text, *line, "state",
				       &replacement->span);
	}
	*line = toml_line_of(toml_table_get(table, STR_LIT("name")));
	if (!find_value_span(text, *line, "name", &replacement->span))
		return false;
	replacement->span = find_line(text, *line);
	replacement->span.start = replacement->span.end;
	snprintf(replacement->text, sizeof(replacement->text),
		 "%s\nstate = \"%s\"",
		 has_carriage_return(text, replacement->span.end) ? "\r" : "",
		 state);
	return true;
}

static void append_replacement(buf_t *out, str_t text, size_t *copied,
			       const replacement_t *replacement)
{
	buf_append(out, text.ptr + *copied, replacement->span.start - *copied);
	buf_append_str(out, str_from(replacement->text));
	*copied = replacement->span.end;
}

/* Writes the text with both replacements, in the order of their spans. */
static void apply_replacements(buf_t *out, str_t text,
			       const replacement_t *version,
			       const replacement_t *state)
{
	bool version_first = version->span.start < state->span.start;
	size_t copied = 0;

	append_replacement(out, text, &copied, version_first ? version : state);
	append_replacement(out, text, &copied, version_first ? state : version);
	buf_append(out, text.ptr + copied, text.len - copied);
}

/* Prints a note if a plan in effect overrides the new state of the domain. */
static void print_plan_note(const ctl_args_t *args, const sheet_t *sheet)
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

/* Checks that the edited sheet differs only in the version and one state. */
static bool check_edited_sheet(const ctl_args_t *args, const sheet_t *old,
			       str_t text)
{
	sheet_t *new = ctl_parse_sheet(text, args->out_path);
	buf_t lines = BUF_INIT;
	buf_t expected = BUF_INIT;
	bool is_expected = false;

	if (!new)
		return false;
	buf_printf(&expected,
		   "%s %s: state: ", args->domain ? "domain" : "endpoint",
		   args->domain ? args->domain : args->endpoint);
	is_expected = new->version == old->version + 1 &&
		      ctl_compare_sheets(old, new, &lines) == 1 &&
		      str_starts_with(buf_view(&lines), buf_view(&expected));
	if (is_expected) {
		printf("version: %llu -> %llu\n%" STR_FMT,
		       (unsigned long long)old->version,
		       (unsigned long long)new->version,
		       STR_ARG(buf_view(&lines)));
		print_plan_note(args, new);
	} else {
		fprintf(stderr,
			"%s:0: document: expected a sheet in which "
			"only one state changes\n",
			args->files[0]);
	}
	buf_release(&lines);
	buf_release(&expected);
	sheet_free(new);
	return is_expected;
}

static int edit_text(const ctl_args_t *args, const sheet_t *old,
		     const toml_doc_t *doc, str_t text, buf_t *out)
{
	const char *file = args->files[0];
	const char *array = args->domain ? "domain" : "endpoint";
	const char *name = args->domain ? args->domain : args->endpoint;
	const toml_node_t *table = find_named_table(doc, array, str_from(name));
	replacement_t version, state;
	unsigned line;

	if (!table) {
		fprintf(stderr, "%s:0: %s: expected one with the name %s\n",
			file, array, name);
		return CTL_EXIT_USAGE;
	}
	line = toml_line_of(toml_table_get(toml_root(doc), STR_LIT("version")));
	if (old->version == INT64_MAX ||
	    !find_value_span(text, line, "version", &version.span))
		return report_edit_error(
			file, line, "version",
			"a line of its own with a decimal number "
			"that can be raised");
	snprintf(version.text, sizeof(version.text), "%llu",
		 (unsigned long long)old->version + 1);
	if (!replace_state(text, table, args->state, &line, &state))
		return report_edit_error(
			file, line, array,
			"state, or name without state, in a line of "
			"its own");
	apply_replacements(out, text, &version, &state);
	if (!check_edited_sheet(args, old, buf_view(out)))
		return CTL_EXIT_USAGE;
	return CTL_EXIT_OK;
}

/* Returns the configured state regardless of plans, or -1 if no such entry
 * exists. */
static int find_state(const ctl_args_t *args, const sheet_t *sheet)
{
	int index;

	if (args->domain) {
		index = sheet_find_domain(sheet, str_from(args->domain));
		return index < 0 ? -1 : (int)sheet->domains[index].state;
	}
	index = sheet_find_endpoint(sheet, str_from(args->endpoint));
	return index < 0 ? -1 : (int)sheet->endpoints[index].state;
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
	if (status == CTL_EXIT_OK &&
	    !ctl_write_file(args->out_path, buf_view(&out)))
		status = CTL_EXIT_USAGE;
done:
	toml_free(doc);
	sheet_free(old);
	buf_release(&text);
	buf_release(&out);
	return status;
}
