#ifndef REQUEST_WAITING_H
#define REQUEST_WAITING_H

#include "request/request.h"

/*
 * waiting - requests for which no endpoint has room now
 *
 * They are tried again in short intervals, the most urgent first and among
 * equals the oldest.
 */
void waiting_add(request_t *request);
void waiting_remove(request_t *request);

#endif
