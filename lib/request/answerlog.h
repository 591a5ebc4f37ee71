#ifndef REQUEST_ANSWERLOG_H
#define REQUEST_ANSWERLOG_H

#include <stdbool.h>
#include <stdint.h>

/*
 * answerlog - the requests that a connection to an endpoint has answered
 *
 * A faulty endpoint may send a copy of an earlier response in place of the next
 * one. The copy is recognized by its request id, unless a request with the same
 * id is sent again on the connection; so such a request takes another one. The
 * ids of all refusals are kept, since a refusal promises that the request did
 * not run; of other responses only the last ones.
 */
#define ANSWERLOG_LAST_IDS 4
/* Refusals after which the connection must not be used again. */
#define ANSWERLOG_MAX_REFUSALS 16

typedef struct answerlog {
	unsigned answers; /* complete responses */
	unsigned refusals;
	/* Hashes of request ids; a ring. */
	uint64_t last_ids[ANSWERLOG_LAST_IDS];
	uint64_t refused_ids[ANSWERLOG_MAX_REFUSALS];
} answerlog_t;

void answerlog_add(answerlog_t *log, uint64_t id_hash, bool is_refusal);

/* RETURN VALUE: whether a response to this id is remembered. */
bool answerlog_has(const answerlog_t *log, uint64_t id_hash);

/* RETURN VALUE: whether no further refusal can be remembered. */
bool answerlog_is_full(const answerlog_t *log);

#endif
