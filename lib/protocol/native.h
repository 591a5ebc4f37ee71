#ifndef PROTOCOL_NATIVE_H
#define PROTOCOL_NATIVE_H

#include "request/dialect.h"

/*
 * native - peridotpin's own interface towards callers and endpoints
 *
 * docs/INTERFACES.md describes it: chat completions and calls of plain services
 * from callers, X-Peridot-* header fields towards engines.
 */
#define NATIVE_CHAT_PATH "/v1/chat/completions"
#define NATIVE_SERVICES_PATH "/v1/services/"
#define NATIVE_HEALTH_PATH "/healthz"
#define NATIVE_LOAD_PATH "/v1/load"

/* Prefixes of the names of services: a model, or a plain service. */
#define NATIVE_MODEL_PREFIX "model/"
#define NATIVE_SERVICE_PREFIX "service/"

const dialect_t *native_dialect(void);

/* Appends the key by which a catalog knows a customer: the SHA-256 of the
 * customer's own key, in hexadecimal. */
void native_append_customer_key(buf_t *out, const uint8_t *digest, size_t len);

/* Appends the path by which a catalog knows a call of a plain service. */
void native_append_call_path(buf_t *out, str_t service, str_t call);

#endif
