#ifndef REQUEST_CHOOSE_H
#define REQUEST_CHOOSE_H

#include "request/request.h"

/*
 * choose - selects the endpoint for a request
 */
typedef enum choose_result {
	CHOOSE_OK,
	CHOOSE_LATER, /* eligible endpoints exist, but each is at a limit now */
	CHOOSE_NONE   /* no endpoint of the service is eligible */
} choose_result_t;

typedef struct choice {
	endpoint_t *endpoint;
	const endpoint_t *prefix_source; /* engine to copy the cached prefix
					    from; or NULL */
	uint64_t prefill_tokens; /* prompt tokens that the engine prefills */
	bool prefills_alone;	 /* no other prompt waits for prefill there */
	double round_trip_ms;	 /* network time to the endpoint and back */
	double prefill_share; /* share of its time that the endpoint spends on
				 prefill */
	double expected_ms;   /* until the first token or response */
	bool slots_taken;     /* the request would wait at the endpoint */
	/* CHOOSE_LATER: the earliest time at which an endpoint that paused or
	 * limits its rate accepts a request of this host; 0: some endpoint is
	 * at another limit. */
	int64_t paused_until_ms;
	bool rate_limited; /* CHOOSE_LATER: an endpoint limits its rate, and
			      none is at another limit */
} choice_t;

/*
 * True for a long prompt, and for any prompt of a customer over its share, when
 * prefill takes so much of the endpoint's time that one more would slow all
 * streams there: the request should wait.
 */
bool choose_is_saturated(const request_t *request, const choice_t *choice);

/* True when the endpoint is cold or isn't proven to be warm. */
bool choose_is_cold(const request_t *request, const endpoint_t *endpoint,
		    int64_t now_ms);

/*
 * Selects among the endpoints that the request may be sent to next: not the one
 * that it runs on, nor one that it was tried on.
 */
choose_result_t choose_endpoint(const request_t *request, choice_t *choice);

#endif
