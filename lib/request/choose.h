#ifndef REQUEST_CHOOSE_H
#define REQUEST_CHOOSE_H

#include "request/request.h"

/*
 * choose - the endpoint for a request, among those that may get it now
 */
typedef enum choose_result {
	CHOOSE_OK,
	CHOOSE_LATER, /* endpoints there are, but each is at a limit now */
	CHOOSE_NONE   /* no endpoint of the service may get it */
} choose_result_t;

typedef struct choice {
	endpoint_t *endpoint;
	const endpoint_t *source; /* that has read more of it; or NULL */
	uint64_t unread_tokens;	  /* that it will have to read */
	bool alone;		  /* it has nothing else to read */
	double trip_ms;		  /* to it and back */
	double reading_share;	  /* of its time that it reads prompts */
	double expected_ms;	  /* until the first token or answer */
	int64_t opens_ms; /* CHOOSE_LATER: when the first of the endpoints, all
			     of which asked for a pause, takes requests again;
			     0: some have no room for another reason */
} choice_t;

/*
 * True when the endpoint reads prompts for so much of its time that one more
 * long prompt would slow all streams there: it had better wait a little.
 */
bool choose_is_saturated(const request_t *request, const choice_t *choice);

/* True when the endpoint is, or must be taken for, cold. */
bool choose_is_cold(const request_t *request, const endpoint_t *endpoint,
		    int64_t now_ms);

choose_result_t choose_endpoint(const request_t *request, choice_t *choice);

#endif
