#include <unistd.h>

#include "programs/host/main.h"
#include "programs/hostd/hostd.h"

int main(int argc, char **argv)
{
	hostd_t hostd = {.host = {.ops = &hostd_ops}};
	host_program_t program = {
		.doc = "Routes the requests of a host's callers to endpoints.",
		.default_settings_path = psettings_path(),
		.log_fd = STDOUT_FILENO};

	return host_main(&hostd.host, &program, argc, argv);
}
