#include "state/hostsettings.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 4096
#define DEFAULT_GRACE_MS 8000
/* Load balancers take this long to stop sending to a host that isn't ready. */
#define DEFAULT_ACCEPT_MS 2600
#define DEFAULT_DRAIN_MS 3000
#define DEFAULT_RETRY_BUDGET_RATIO 0.1
#define DEFAULT_RETRY_BUDGET_WINDOW_MS 10000

void hostsettings_init(hostsettings_t *settings, str_t text)
{
	*settings = (hostsettings_t){
		.text = str_dup(text),
		.grace_ms = DEFAULT_GRACE_MS,
		.accept_ms = DEFAULT_ACCEPT_MS,
		.drain_ms = DEFAULT_DRAIN_MS,
		.retry_budget_ratio = DEFAULT_RETRY_BUDGET_RATIO,
		.retry_budget_window_ms = DEFAULT_RETRY_BUDGET_WINDOW_MS,
		.cold_overshoot = 1.0};
	if (!settings->text)
		abort();
}

void hostsettings_release(hostsettings_t *settings)
{
	free(settings->text);
	settings->text = NULL;
}

err_code_t hostsettings_read_file(const char *path, buf_t *text, err_t *err)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	ssize_t got;

	if (fd < 0)
		return err_set(err, ERR_IO, "open-settings", path, "%s",
			       strerror(errno));
	do {
		buf_reserve(text, READ_CHUNK_BYTES);
		got = read(fd, text->ptr + text->len, READ_CHUNK_BYTES);
		if (got > 0)
			text->len += (size_t)got;
	} while (got > 0);
	close(fd);
	if (got < 0)
		return err_set(err, ERR_IO, "read-settings", path, "%s",
			       strerror(errno));
	return ERR_OK;
}
