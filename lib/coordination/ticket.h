#ifndef COORDINATION_TICKET_H
#define COORDINATION_TICKET_H

#include "base/buf.h"
#include "base/mclock.h"
#include "protocol/msg.h"

/*
 * ticket - the right to one run of a non-repeatable call
 *
 * Tickets are issued and spent by one process from its memory; see section 6.3
 * of docs/design.md. The text form is printable ASCII without blanks and names
 * the issuer's address, so that any entry daemon can forward a ticketed call.
 */
#define TICKET_LIFE_MS 600000	      /* of an unspent ticket */
#define TICKET_RESULT_LIFE_MS 3600000 /* of a recorded result */
#define TICKET_MAX 10000	      /* results kept */
#define TICKET_MAX_UNSPENT 10000      /* issued or running, not yet expired */
#define TICKET_TEXT_BYTES 512
/* Bytes of results kept; the oldest results go first. An eighth of the 256 MB
 * that a daemon may use. */
#define TICKET_MAX_RESULT_BYTES ((size_t)32 * 1024 * 1024)
/*
 * Newest serials of which one bit says for ever whether they were spent. Older
 * ones answer TICKET_FORGOTTEN, which claims nothing. 2 MiB; at 10 tickets/s
 * this is 19 days.
 */
#define TICKET_REMEMBERED (UINT64_C(1) << 24)

typedef struct ticket_table ticket_table_t;

/* What the text form says; views point into the text. */
typedef struct ticket_name {
	str_t address; /* issuer's dispatch address */
	msg_id_t incarnation;
	uint64_t serial;
} ticket_name_t;

typedef enum ticket_verdict {
	TICKET_RUN,	    /* spent now: the caller must run it once */
	TICKET_IN_PROGRESS, /* being run: wait for the result */
	TICKET_DONE,	    /* the recorded result */
	TICKET_EXPIRED,	    /* never run, and never will be */
	TICKET_FORGOTTEN,   /* result no longer kept: outcome unknown */
	TICKET_FOREIGN,	    /* of another process: outcome unknown */
	TICKET_OTHER_BODY,  /* spent with another body */
	TICKET_OTHER_CALL,  /* for another customer, service or call */
	TICKET_FORGED	    /* malformed or wrong digest */
} ticket_verdict_t;

/* Result of the one run, kept for callers that ask again. */
typedef struct ticket_result {
	msg_outcome_t outcome;
	unsigned http_status;
	str_t content_type;
	str_t body;
	str_t step;
	str_t peer;
	str_t message;
} ticket_result_t;

/* NULL without memory or randomness, or when a name contains a blank, a slash
 * or is longer than 63 bytes. */
ticket_table_t *ticket_table_create(const mclock_t *clock, str_t host,
				    str_t address, const msg_id_t *incarnation);
/* As above, with another number of serials in place of TICKET_REMEMBERED. */
ticket_table_t *ticket_table_create_sized(const mclock_t *clock, str_t host,
					  str_t address,
					  const msg_id_t *incarnation,
					  uint64_t remembered);
void ticket_table_free(ticket_table_t *table);

/*
 * Issues a ticket and appends its text.
 *
 * RETURN VALUE: ERR_OK, or ERR_FULL with too many unspent tickets.
 */
err_code_t ticket_issue(ticket_table_t *table, str_t customer, str_t service,
			str_t call, buf_t *text);

/* Reads the issuer from the text without checking the digest. */
err_code_t ticket_parse(str_t text, ticket_name_t *name, err_t *err);

/*
 * Spends a ticket. After TICKET_RUN the caller calls exactly one of
 * ticket_finish() and ticket_unspend(). For TICKET_DONE `result` is filled;
 * its views are valid until the next call on the table.
 */
ticket_verdict_t ticket_spend(ticket_table_t *table, str_t text, str_t customer,
			      str_t service, str_t call, str_t body,
			      uint64_t *serial, ticket_result_t *result);

/* Records the result of the run. */
void ticket_finish(ticket_table_t *table, uint64_t serial,
		   const ticket_result_t *result);

/* The call is known not to have run: the ticket may be spent again. */
void ticket_unspend(ticket_table_t *table, uint64_t serial);

#endif
