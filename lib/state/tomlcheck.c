#include "state/tomlcheck.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "state/tomlscan.h"

#define MESSAGE_BYTES 256
#define MAX_PATH_BYTES 4095

static const char *describe_type(const toml_node_t *node)
{
	switch (toml_type_of(node)) {
	case TOML_TABLE:
		return "a table";
	case TOML_ARRAY:
		return "an array";
	case TOML_STRING:
		return "a string";
	case TOML_INTEGER:
		return "an integer";
	case TOML_FLOAT:
		return "a float";
	case TOML_BOOLEAN:
		return "a boolean";
	case TOML_DATE_TIME:
		return "an offset date-time";
	case TOML_LOCAL_TIME:
		break;
	}
	return "a date or time without offset";
}

/* Replaces control characters: a fault must stay on one line of the report. */
static void replace_control_chars(char *text)
{
	for (; *text; text++) {
		if ((unsigned char)*text < 0x20 || *text == 0x7f)
			*text = ' ';
	}
}

/* Truncates a long path; the report also has the line number. */
__attribute__((format(printf, 2, 3))) static void set_path(
	char path[TOMLCHECK_PATH_BYTES], const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(path, TOMLCHECK_PATH_BYTES, format, args);
	va_end(args);
}

static const toml_node_t *find_value(const tomlcheck_table_t *table,
				     const char *key)
{
	return toml_table_get(table->node, str_from(key));
}

/* The value, or NULL; reports a required key that is missing. */
static const toml_node_t *get_value(const tomlcheck_table_t *table,
				    const char *key,
				    tomlcheck_presence_t presence,
				    const char *expected)
{
	const toml_node_t *node = find_value(table, key);

	if (!node && presence == TOMLCHECK_REQUIRED)
		tomlcheck_report(table, key, toml_line_of(table->node),
				 "expected %s; the key is missing", expected);
	return node;
}

static void report_wrong_type(const tomlcheck_table_t *table, const char *key,
			      const toml_node_t *node, const char *expected)
{
	tomlcheck_report(table, key, toml_line_of(node),
			 "expected %s, found %s", expected,
			 describe_type(node));
}

/* False, with an empty value, when the key is missing or of another type. */
static bool get_string(const tomlcheck_table_t *table, const char *key,
		       tomlcheck_presence_t presence, const char *expected,
		       str_t *value, unsigned *line)
{
	const toml_node_t *node = get_value(table, key, presence, expected);

	*value = STR_LIT("");
	if (!node)
		return false;
	*line = toml_line_of(node);
	if (toml_get_string(node, value))
		return true;
	report_wrong_type(table, key, node, expected);
	return false;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

typedef struct key_check {
	const tomlcheck_table_t *table;
	const char *const *known;
	char list[MESSAGE_BYTES]; /* `known`, for reports */
} key_check_t;

static void check_key(void *user, str_t key, unsigned line)
{
	key_check_t *check = user;
	char text[SHEET_NAME_BYTES];

	for (size_t i = 0; check->known[i]; i++) {
		if (str_equals(key, str_from(check->known[i])))
			return;
	}
	str_copy(text, sizeof(text), key);
	tomlcheck_report(check->table, text, line,
			 "expected one of %s; unknown key", check->list);
}

static void join_choices(char *out, size_t size, const char *const *choices)
{
	size_t len = 0;

	out[0] = '\0';
	for (size_t i = 0; choices[i] && len < size; i++)
		len += (size_t)snprintf(out + len, size - len, "%s%s",
					i ? ", " : "", choices[i]);
}

bool tomlcheck_open(tomlcheck_t *check, str_t text, size_t max_bytes,
		    const char *file, buf_t *report)
{
	char message[MESSAGE_BYTES] = "";
	const char *fault;
	unsigned line = 0;
	tomlcheck_table_t root;

	*check = (tomlcheck_t){.file = file, .report = report};
	root = (tomlcheck_table_t){.check = check};
	if (text.len > max_bytes) {
		tomlcheck_report(&root, NULL, 1,
				 "expected at most %zu bytes, found %zu",
				 max_bytes, text.len);
		return false;
	}
	fault = tomlscan_text(text, &line);
	if (fault) {
		tomlcheck_report(&root, NULL, line, "%s", fault);
		return false;
	}
	check->doc = toml_read(text.ptr ? text : STR_LIT(""), &line, message,
			       sizeof(message));
	if (check->doc)
		return true;
	tomlcheck_report(&root, NULL, line, "expected valid TOML: %s", message);
	return false;
}

void tomlcheck_close(tomlcheck_t *check)
{
	toml_free(check->doc);
	check->doc = NULL;
}

tomlcheck_table_t tomlcheck_root(tomlcheck_t *check)
{
	return (tomlcheck_table_t){.check = check,
				   .node = toml_root(check->doc)};
}

void tomlcheck_report(const tomlcheck_table_t *table, const char *key,
		      unsigned line, const char *format, ...)
{
	tomlcheck_t *check = table->check;
	char path[2 * TOMLCHECK_PATH_BYTES];
	char message[2 * MESSAGE_BYTES];
	va_list args;

	check->faults++;
	if (check->faults > TOMLCHECK_MAX_FAULTS)
		return;
	if (check->faults == TOMLCHECK_MAX_FAULTS) {
		buf_printf(check->report,
			   "%s:%u: document: expected fewer faults; the rest "
			   "is not listed\n",
			   check->file, line);
		return;
	}
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	if (key)
		snprintf(path, sizeof(path), "%s%s%s", table->path,
			 table->path[0] ? "." : "", key);
	else
		snprintf(path, sizeof(path), "%s",
			 table->path[0] ? table->path : "document");
	replace_control_chars(path);
	replace_control_chars(message);
	buf_printf(check->report, "%s:%u: %s: %s\n", check->file, line, path,
		   message);
}

unsigned tomlcheck_line(const tomlcheck_table_t *table, const char *key)
{
	const toml_node_t *node = find_value(table, key);

	return toml_line_of(node ? node : table->node);
}

void tomlcheck_check_keys(const tomlcheck_table_t *table,
			  const char *const *known)
{
	key_check_t check = {.table = table, .known = known};

	join_choices(check.list, sizeof(check.list), known);
	toml_table_each(table->node, check_key, &check);
}

bool tomlcheck_get_table(const tomlcheck_table_t *table, const char *key,
			 tomlcheck_presence_t presence, tomlcheck_table_t *out)
{
	const toml_node_t *node = get_value(table, key, presence, "a table");

	if (!node)
		return false;
	if (toml_type_of(node) != TOML_TABLE) {
		report_wrong_type(table, key, node, "a table");
		return false;
	}
	*out = (tomlcheck_table_t){.check = table->check, .node = node};
	set_path(out->path, "%s%s%s", table->path, table->path[0] ? "." : "",
		 key);
	return true;
}

size_t tomlcheck_get_array(const tomlcheck_table_t *table, const char *key,
			   size_t min, size_t max, const char *element)
{
	char expected[MESSAGE_BYTES];
	const toml_node_t *node;
	size_t count;

	snprintf(expected, sizeof(expected), "an array of %zu to %zu %s", min,
		 max, element);
	node = get_value(table, key,
			 min ? TOMLCHECK_REQUIRED : TOMLCHECK_OPTIONAL,
			 expected);
	if (!node)
		return 0;
	if (toml_type_of(node) != TOML_ARRAY) {
		report_wrong_type(table, key, node, expected);
		return 0;
	}
	count = toml_array_size(node);
	if (count >= min && count <= max)
		return count;
	tomlcheck_report(table, key, toml_line_of(node),
			 "expected %s, found %zu", expected, count);
	return count < min ? count : max;
}

bool tomlcheck_get_element(const tomlcheck_table_t *table, const char *key,
			   size_t i, tomlcheck_table_t *out)
{
	const toml_node_t *node = toml_array_at(find_value(table, key), i);

	*out = (tomlcheck_table_t){.check = table->check, .node = node};
	set_path(out->path, "%s%s%s[%zu]", table->path,
		 table->path[0] ? "." : "", key, i);
	if (toml_type_of(node) == TOML_TABLE)
		return true;
	report_wrong_type(out, NULL, node, "a table");
	return false;
}

bool tomlcheck_get_string_element(const tomlcheck_table_t *table,
				  const char *key, size_t i,
				  char path[TOMLCHECK_PATH_BYTES], str_t *value,
				  unsigned *line)
{
	const toml_node_t *node = toml_array_at(find_value(table, key), i);

	set_path(path, "%s[%zu]", key, i);
	*line = toml_line_of(node);
	if (toml_get_string(node, value))
		return true;
	report_wrong_type(table, path, node, "a string");
	return false;
}

int64_t tomlcheck_get_int(const tomlcheck_table_t *table,
			  const tomlcheck_int_t *spec)
{
	char expected[MESSAGE_BYTES];
	const toml_node_t *node = find_value(table, spec->key);
	int64_t value;

	if (!node && !spec->required)
		return spec->fallback;
	snprintf(expected, sizeof(expected),
		 "an integer from %" PRId64 " to %" PRId64, spec->min,
		 spec->max);
	if (!get_value(table, spec->key, TOMLCHECK_REQUIRED, expected))
		return spec->min;
	if (!toml_get_int(node, &value)) {
		report_wrong_type(table, spec->key, node, expected);
		return spec->min;
	}
	if (value >= spec->min && value <= spec->max)
		return value;
	tomlcheck_report(table, spec->key, toml_line_of(node),
			 "expected %s, found %" PRId64, expected, value);
	return spec->min;
}

bool tomlcheck_get_bool(const tomlcheck_table_t *table, const char *key,
			tomlcheck_presence_t presence, bool fallback)
{
	const toml_node_t *node =
		get_value(table, key, presence, "true or false");
	bool value;

	if (!node)
		return fallback;
	if (toml_get_bool(node, &value))
		return value;
	report_wrong_type(table, key, node, "true or false");
	return fallback;
}

str_t tomlcheck_get_name(const tomlcheck_table_t *table, const char *key)
{
	const char *expected = "a name of 1 to 63 letters, digits, '-', '_' "
			       "and '.', starting with a letter or digit";
	unsigned line;
	str_t value;

	if (!get_string(table, key, TOMLCHECK_REQUIRED, expected, &value,
			&line) ||
	    sheet_is_name(value))
		return value;
	tomlcheck_report(table, key, line, "expected %s", expected);
	return STR_LIT("");
}

str_t tomlcheck_get_address(const tomlcheck_table_t *table, const char *key,
			    tomlcheck_presence_t presence)
{
	const char *expected = "an address IP:PORT";
	unsigned line;
	str_t value;

	if (!get_string(table, key, presence, expected, &value, &line) ||
	    sheet_is_address(value))
		return value;
	tomlcheck_report(table, key, line, "expected %s", expected);
	return STR_LIT("");
}

str_t tomlcheck_get_path(const tomlcheck_table_t *table, const char *key)
{
	const char *expected = "a file path of 1 to 4095 bytes without NUL";
	unsigned line;
	str_t value;

	if (!get_string(table, key, TOMLCHECK_OPTIONAL, expected, &value,
			&line) ||
	    (value.len && value.len <= MAX_PATH_BYTES &&
	     !memchr(value.ptr, '\0', value.len)))
		return value;
	tomlcheck_report(table, key, line, "expected %s", expected);
	return STR_LIT("");
}

int tomlcheck_get_choice(const tomlcheck_table_t *table, const char *key,
			 const char *const *choices, int fallback)
{
	char list[MESSAGE_BYTES];
	char expected[MESSAGE_BYTES + 16];
	unsigned line;
	str_t value;

	join_choices(list, sizeof(list), choices);
	snprintf(expected, sizeof(expected), "one of %s", list);
	if (!get_string(table, key,
			fallback < 0 ? TOMLCHECK_REQUIRED : TOMLCHECK_OPTIONAL,
			expected, &value, &line))
		return fallback < 0 ? 0 : fallback;
	for (int i = 0; choices[i]; i++) {
		if (str_equals(value, str_from(choices[i])))
			return i;
	}
	tomlcheck_report(table, key, line, "expected %s", expected);
	return 0;
}

bool tomlcheck_get_digest(const tomlcheck_table_t *table, const char *key,
			  uint8_t digest[SHEET_DIGEST_BYTES])
{
	const char *expected = "a SHA-256 digest of 64 hexadecimal digits";
	unsigned line;
	str_t value;

	if (!get_string(table, key, TOMLCHECK_REQUIRED, expected, &value,
			&line))
		return false;
	if (value.len != 2UL * SHEET_DIGEST_BYTES)
		goto fault;
	for (size_t i = 0; i < SHEET_DIGEST_BYTES; i++) {
		int high = hex_digit(value.ptr[2 * i]);
		int low = hex_digit(value.ptr[2 * i + 1]);

		if (high < 0 || low < 0)
			goto fault;
		digest[i] = (uint8_t)(high << 4 | low);
	}
	return true;
fault:
	tomlcheck_report(table, key, line, "expected %s", expected);
	return false;
}

int64_t tomlcheck_get_time(const tomlcheck_table_t *table, const char *key,
			   tomlcheck_presence_t presence)
{
	const char *expected = "an offset date-time such as "
			       "2026-12-04T06:00:00Z";
	const toml_node_t *node = get_value(table, key, presence, expected);
	int64_t value;

	if (!node)
		return 0;
	if (!toml_get_unix_s(node, &value)) {
		report_wrong_type(table, key, node, expected);
		return 0;
	}
	if (value >= 0)
		return value;
	tomlcheck_report(table, key, toml_line_of(node),
			 "expected %s, not before 1970", expected);
	return 0;
}
