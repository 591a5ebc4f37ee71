#ifndef PROTOCOL_NATIVE_H
#define PROTOCOL_NATIVE_H

#include "request/dialect.h"

/*
 * native - peridotpin's own wire format for callers and endpoints
 *
 * Callers send chat completions and calls of plain services; requests to
 * endpoints carry X-Peridot-* header fields. See docs/INTERFACES.md.
 */
#define NATIVE_CHAT_PATH "/v1/chat/completions"
#define NATIVE_SERVICES_PATH "/v1/services/"
#define NATIVE_HEALTH_PATH "/healthz"
#define NATIVE_LOAD_PATH "/v1/load"

/* Prefixes of service names, for models and plain services. */
#define NATIVE_MODEL_PREFIX "model/"
#define NATIVE_SERVICE_PREFIX "service/"

const dialect_t *native_dialect(void);

/* Appends the key of a customer in the catalog: the SHA-256 digest of the
 * customer's API key, in lower-case hexadecimal. */
void native_append_customer_key(buf_t *out, const uint8_t *digest, size_t len);

/* Appends the path of a call of a plain service in the catalog. */
void native_append_call_path(buf_t *out, str_t service, str_t call);

#endif
