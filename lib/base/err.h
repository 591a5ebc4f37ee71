#ifndef BASE_ERR_H
#define BASE_ERR_H

#include "base/str.h"

/*
 * err - errors with the step and the peer at which they occurred
 *
 * Functions that can fail return an err_code_t and fill an err_t that the
 * caller passes; pass a NULL err_t when only the code matters.
 */
typedef enum err_code {
	ERR_OK = 0,
	ERR_INVALID,   /* malformed or out-of-range input */
	ERR_TOO_LARGE, /* input above its size limit */
	ERR_VERSION,   /* unsupported protocol or lower sheet version */
	ERR_CONFLICT,  /* same version, different content */
	ERR_AUTH,      /* missing or wrong credentials */
	ERR_NOT_FOUND,
	ERR_FULL,     /* a bounded queue or table is full */
	ERR_TIMEOUT,  /* no response within the time limit */
	ERR_REFUSED,  /* the peer refused before doing any work */
	ERR_IO,	      /* connection or system call failed */
	ERR_BAD_STATE /* not allowed in the current state */
} err_code_t;

#define ERR_STEP_BYTES 32
#define ERR_PEER_BYTES 64
#define ERR_MESSAGE_BYTES 256

typedef struct err {
	err_code_t code;
	char step[ERR_STEP_BYTES]; /* operation that failed */
	char peer[ERR_PEER_BYTES]; /* address, path or name; may be empty */
	char message[ERR_MESSAGE_BYTES];
} err_t;

/*
 * Fills `err` unless it is NULL.
 *
 * RETURN VALUE: `code`, so that a caller can return err_set(...).
 */
err_code_t err_set(err_t *err, err_code_t code, const char *step,
		   const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* Short name of a code for logs, such as "timeout". */
const char *err_code_name(err_code_t code);

#endif
