#include <stdio.h>
#include <unistd.h>

#include "base/plog.h"
#include "programs/host/main.h"
#include "programs/routerd/routerd.h"

#define TRACE_SAMPLE_PERCENT 100

/* Starts a thread that writes the spans, so that no request waits for the
 * file. */
static void start_trace(host_t *host)
{
	const settings_t *settings = (const settings_t *)host->settings;
	trace_options_t options = {.path = settings->trace_file.ptr,
				   .service = host->ops->name,
				   .host = host->settings->host.ptr,
				   .sample_percent = TRACE_SAMPLE_PERCENT};
	err_t err;

	host->tracer = tracer_default();
	if (settings->trace_file.len && trace_start(&options, &err))
		plog_write(PLOG_START_FAILED, "step=%s peer=%s error=\"%s\"",
			   err.step, err.peer, err.message);
}

int main(int argc, char **argv)
{
	routerd_t routerd = {.host = {.ops = &routerd_ops}};
	host_program_t program = {
		.doc = "Routes the requests of callers by an operators' sheet.",
		.log_fd = STDERR_FILENO,
		.before_run = start_trace,
		.after_run = trace_stop};

	return host_main(&routerd.host, &program, argc, argv);
}
