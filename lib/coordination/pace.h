#ifndef COORDINATION_PACE_H
#define COORDINATION_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * pace - limit of the requests at an endpoint that has started or recovered
 *
 * The cap applies to the requests in flight of all hosts together. It starts at
 * a part of the endpoint's slots, doubles with each round of answers in time,
 * is halved by faults, and ends once it reaches the slots. Each host has its
 * own view of the cap and uses its units of it (see unitshare.h), so hosts
 * needn't know of each other's latest requests. A host that gets no answers
 * since it has no unit or no requests raises its cap by steps of time.
 */
#define PACE_START_DIVISOR 8 /* the first cap is this part of the slots */
#define PACE_STEP_MS 200
/* Each fault doubles the step. */
#define PACE_MAX_STEP_MS 1600
/* A fault this soon after the end of the limit starts it again. */
#define PACE_RELAPSE_MS 2000

typedef struct pace {
	unsigned cap;		/* 0: no limit */
	unsigned round_answers; /* in time, since the cap changed */
	unsigned faults;	/* since the first start */
	int64_t changed_ms;	/* last change of the cap */
	int64_t sent_ms;	/* this host's latest request */
	int64_t answered_ms;	/* latest answer or fault */
	int64_t restart_ms;	/* planned start; 0: none */
} pace_t;

/* What a host knows of an endpoint when it decides. */
typedef struct pace_view {
	unsigned slots; /* 0: unknown; there is no limit then */
	unsigned own_in_flight;
	unsigned all_in_flight; /* of all hosts, as last received */
	size_t hosts;		/* that share the cap */
	size_t rank; /* of this host among them; `hosts`: it is none of them */
} pace_view_t;

/* The endpoint is new. */
void pace_start(pace_t *pace, unsigned slots, int64_t now_ms);

/* The endpoint will be back, or warm, at this time: its pace starts then with
 * the load that it has. A later time that is planned stays. */
void pace_restart_at(pace_t *pace, int64_t restart_ms);

/* Applies planned starts and steps of time. Call it before pace_allows(). */
void pace_update(pace_t *pace, const pace_view_t *view, int64_t now_ms);

/* Whether this host may send one more request. */
bool pace_allows(const pace_t *pace, const pace_view_t *view);

void pace_on_send(pace_t *pace, int64_t now_ms);

/* The endpoint has begun to answer; `in_time` is false for an answer after the
 * route's latency target. */
void pace_on_answer(pace_t *pace, const pace_view_t *view, bool in_time,
		    int64_t now_ms);

/* A request failed or was refused. */
void pace_on_fault(pace_t *pace, unsigned slots, int64_t now_ms);

#endif
