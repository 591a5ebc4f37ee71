#ifndef TRANSPORT_ADDRESS_H
#define TRANSPORT_ADDRESS_H

#include <netinet/in.h>

#include "base/err.h"

/* Buffer size for "IP:PORT" with its final NUL, IPv4 only. */
#define ADDRESS_BYTES 24

/*
 * Parses "IP:PORT" with an IPv4 address; names are not resolved.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t address_parse(const char *text, struct sockaddr_in *address,
			 err_t *err);

void address_format(const struct sockaddr_in *address, char out[ADDRESS_BYTES]);

#endif
