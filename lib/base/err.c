#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

err_code_t err_set(err_t *err, err_code_t code, const char *step,
		   const char *peer, const char *format, ...)
{
	va_list args;

	if (!err)
		return code;
	err->code = code;
	str_copy(err->step, sizeof(err->step), str_from(step));
	str_copy(err->peer, sizeof(err->peer), str_from(peer));
	va_start(args, format);
	vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	return code;
}

const char *err_code_name(err_code_t code)
{
	static const char *const names[] = {
		[ERR_OK] = "ok",
		[ERR_INVALID] = "invalid",
		[ERR_TOO_LARGE] = "too-large",
		[ERR_VERSION] = "version",
		[ERR_CONFLICT] = "conflict",
		[ERR_AUTH] = "auth",
		[ERR_NOT_FOUND] = "not-found",
		[ERR_FULL] = "full",
		[ERR_TIMEOUT] = "timeout",
		[ERR_REFUSED] = "refused",
		[ERR_IO] = "io",
		[ERR_BAD_STATE] = "state",
	};

	return names[code];
}
