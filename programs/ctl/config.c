#include "ctl.h"

#include <stdio.h>

#include "platform/records.h"
#include "state/catalogcheck.h"
#include "state/sheetcheck.h"

/* Reads a configuration of the platform as hosts do. Returns NULL and prints
 * the reason to standard error on failure. */
static catalog_t *load_config(const char *path)
{
	buf_t text = BUF_INIT;
	catalog_t *catalog = NULL;
	err_t err = {0};

	if (ctl_read_file(path, SHEETCHECK_MAX_BYTES, &text)) {
		catalog = records_read_config(buf_view(&text), &err);
		if (!catalog)
			fprintf(stderr, "%s: error: %s\n", path, err.message);
	}
	buf_release(&text);
	return catalog;
}

static int report(const char *path, const catalog_t *catalog,
		  const catalog_t *in_force)
{
	catalogcheck_result_t result = {0, 0};
	buf_t lines = BUF_INIT;

	printf("%s: version %lld, %zu routes, %zu services, %zu customers, "
	       "%zu keys\n",
	       path, (long long)catalog_version(catalog),
	       catalog_route_count(catalog), catalog_service_count(catalog),
	       catalog_customer_count(catalog), catalog_key_count(catalog));
	catalogcheck_review(catalog, &lines, &result);
	if (in_force)
		catalogcheck_compare(in_force, catalog, &lines, &result);
	fwrite(lines.ptr, 1, lines.len, stdout);
	buf_release(&lines);
	printf("%zu errors, %zu warnings\n", result.errors, result.warnings);
	return result.errors   ? CTL_EXIT_USAGE :
	       result.warnings ? CTL_EXIT_WARNED :
				 CTL_EXIT_OK;
}

int ctl_run_check_config(const ctl_args_t *args)
{
	catalog_t *catalog = load_config(args->files[0]);
	catalog_t *in_force =
		args->in_force ? load_config(args->in_force) : NULL;
	int status = CTL_EXIT_USAGE;

	if (catalog && (in_force || !args->in_force))
		status = report(args->files[0], catalog, in_force);
	catalog_unref(catalog);
	catalog_unref(in_force);
	return status;
}
