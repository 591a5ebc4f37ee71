#include "ctl.h"

#include <errno.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "state/sheetcheck.h"

#define READ_BYTES 65536

/* Faults are printed as FILE:LINE: KEY: EXPECTED, see sheetcheck.h. Line 0 and
 * the key "document" refer to the file as a whole. */
bool ctl_read_file(const char *path, size_t max, buf_t *out)
{
	FILE *file = fopen(path, "rb");
	size_t got;
	bool failed;

	if (!file) {
		fprintf(stderr,
			"%s:0: document: expected a readable file: %s\n", path,
			strerror(errno));
		return false;
	}
	do {
		buf_reserve(out, READ_BYTES);
		got = fread(out->ptr + out->len, 1, READ_BYTES, file);
		out->len += got;
	} while (got && out->len <= max);
	failed = ferror(file);
	fclose(file);
	if (failed)
		fprintf(stderr, "%s:0: document: expected a readable file\n",
			path);
	return !failed;
}

bool ctl_write_file(const char *path, str_t bytes)
{
	char temporary[PATH_MAX];
	FILE *file;
	bool written;

	snprintf(temporary, sizeof(temporary), "%s.new.%d", path,
		 (int)getpid());
	file = fopen(temporary, "wb");
	written = file && fwrite(bytes.ptr, 1, bytes.len, file) == bytes.len;
	if (file && fclose(file))
		written = false;
	if (written && !rename(temporary, path))
		return true;
	fprintf(stderr, "peridotctl: cannot write %s: %s\n", path,
		strerror(errno));
	if (file)
		unlink(temporary);
	return false;
}

sheet_t *ctl_parse_sheet(str_t text, const char *path)
{
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(text, path, &report);

	if (!sheet)
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
	buf_release(&report);
	return sheet;
}

sheet_t *ctl_load_sheet(const char *path)
{
	buf_t text = BUF_INIT;
	sheet_t *sheet = NULL;

	if (ctl_read_file(path, SHEETCHECK_MAX_BYTES, &text))
		sheet = ctl_parse_sheet(buf_view(&text), path);
	buf_release(&text);
	return sheet;
}

int ctl_run_check(const ctl_args_t *args)
{
	sheet_t *sheet = ctl_load_sheet(args->files[0]);

	if (!sheet)
		return CTL_EXIT_USAGE;
	printf("%s: version %llu, %zu domains, %zu classes, %zu endpoints, "
	       "%zu customers\n",
	       args->files[0], (unsigned long long)sheet->version,
	       sheet->domain_count, sheet->class_count, sheet->endpoint_count,
	       sheet->customer_count);
	sheet_free(sheet);
	return CTL_EXIT_OK;
}

int ctl_run_check_settings(const ctl_args_t *args)
{
	buf_t report = BUF_INIT;
	settings_t *settings = settings_load(args->files[0], &report);

	/* The strings of settings end in NUL. */
	if (settings)
		printf("%s: host %s, domain %s\n", args->files[0],
		       settings->base.host.ptr, settings->base.domain.ptr);
	else
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
	buf_release(&report);
	if (!settings)
		return CTL_EXIT_USAGE;
	settings_free(settings);
	return CTL_EXIT_OK;
}
