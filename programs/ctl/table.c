#include "ctl.h"

#include <assert.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define CELL_BYTES 320
#define COLUMN_GAP 2

typedef struct row {
	char *cells[CTL_MAX_COLUMNS];
} row_t;

void ctl_table_init(ctl_table_t *table, const char *const *columns)
{
	*table = (ctl_table_t){.columns = columns};
	while (columns[table->column_count])
		table->column_count++;
}

void ctl_table_add(ctl_table_t *table, const char *format, ...)
{
	size_t count = table->cell_count;
	char text[CELL_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	table->cells = realloc(table->cells, (count + 1) * sizeof(char *));
	if (!table->cells)
		abort();
	table->cells[count] = strdup(text);
	if (!table->cells[count])
		abort();
	table->cell_count++;
}

static int compare_rows(const void *a, const void *b)
{
	const row_t *left = a, *right = b;
	int order = strcmp(left->cells[0], right->cells[0]);

	return order ? order : strcmp(left->cells[1], right->cells[1]);
}

void ctl_table_sort(ctl_table_t *table)
{
	size_t columns = table->column_count;
	size_t rows;
	row_t *sorted;

	assert(columns > 1 && columns <= CTL_MAX_COLUMNS);
	rows = table->cell_count / columns;
	sorted = calloc(rows + 1, sizeof(*sorted));
	if (!sorted)
		abort();
	for (size_t i = 0; i < rows * columns; i++)
		sorted[i / columns].cells[i % columns] = table->cells[i];
	qsort(sorted, rows, sizeof(*sorted), compare_rows);
	for (size_t i = 0; i < rows * columns; i++)
		table->cells[i] = sorted[i / columns].cells[i % columns];
	free(sorted);
}

static void print_json(const ctl_table_t *table)
{
	json_t *rows = json_array();
	json_t *row = NULL;

	assert(table->column_count);
	for (size_t i = 0; i < table->cell_count; i++) {
		const char *column = table->columns[i % table->column_count];
		char key[CELL_BYTES];
		char *end;
		long long value = strtoll(table->cells[i], &end, 10);
		bool number = *table->cells[i] && !*end;

		if (i % table->column_count == 0) {
			row = json_object();
			json_array_append_new(rows, row);
		}
		str_copy(key, sizeof(key), str_from(column));
		for (char *c = key; *c; c++)
			*c = (char)tolower((unsigned char)*c);
		json_object_set_new(row, key,
				    number ? json_integer(value) :
					     json_string(table->cells[i]));
	}
	json_dumpf(rows, stdout, JSON_INDENT(1) | JSON_PRESERVE_ORDER);
	putchar('\n');
	json_decref(rows);
}

static void print_line(const char *const *cells, const size_t *widths,
		       size_t count)
{
	size_t last = count;

	while (last && !*cells[last - 1])
		last--;
	for (size_t i = 0; i < last; i++) {
		int width = i + 1 < last ? (int)widths[i] + COLUMN_GAP : 0;

		printf("%-*s", width, cells[i]);
	}
	putchar('\n');
}

void ctl_table_print(const ctl_table_t *table, bool json)
{
	size_t columns = table->column_count;
	size_t widths[CTL_MAX_COLUMNS] = {0};

	assert(columns && columns <= CTL_MAX_COLUMNS);
	if (json) {
		print_json(table);
		return;
	}
	for (size_t i = 0; i < columns; i++)
		widths[i] = strlen(table->columns[i]);
	for (size_t i = 0; i < table->cell_count; i++) {
		size_t length = strlen(table->cells[i]);

		if (length > widths[i % columns])
			widths[i % columns] = length;
	}
	print_line(table->columns, widths, columns);
	for (size_t i = 0; i < table->cell_count; i += columns)
		print_line((const char *const *)&table->cells[i], widths,
			   columns);
}

void ctl_table_release(ctl_table_t *table)
{
	for (size_t i = 0; i < table->cell_count; i++)
		free(table->cells[i]);
	free(table->cells);
}
