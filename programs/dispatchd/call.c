#include "dispatchd.h"

#include <stdlib.h>

/* How an ended ticket is answered when there is no recorded result. */
typedef struct verdict_answer {
	msg_outcome_t outcome;
	unsigned http_status;
	const char *message;
} verdict_answer_t;

static const verdict_answer_t verdict_answers[] = {
	[TICKET_EXPIRED] = {MSG_NOT_RUN, 428, "the ticket expired unspent"},
	[TICKET_FORGOTTEN] = {MSG_UNKNOWN, 504,
			      "the ticket was spent; its result is no longer "
			      "kept"},
	[TICKET_FOREIGN] = {MSG_UNKNOWN, 504,
			    "the process that issued the ticket is gone"},
	[TICKET_OTHER_BODY] = {MSG_NOT_RUN, 422,
			       "the ticket was spent with another body"},
	[TICKET_OTHER_CALL] = {MSG_NOT_RUN, 403,
			       "the ticket is for another customer or call"},
	[TICKET_FORGED] = {MSG_NOT_RUN, 400, "the ticket is not valid"},
};

void call_issue_ticket(client_t *client, const msg_ticket_get_t *get)
{
	dispatchd_t *d = client->d;
	msg_t msg = {.kind = MSG_TICKET};
	buf_t text = BUF_INIT;

	/* A leaving process could not spend what it issues. */
	if (!d->leaving)
		ticket_issue(d->tickets, get->customer, get->service, get->call,
			     &text);
	msg.u.ticket.id = get->id;
	msg.u.ticket.ticket = buf_view(&text);
	client_send(client, &msg);
	buf_release(&text);
}

static void send_recorded(request_t *r, const ticket_result_t *recorded)
{
	msg_t msg;

	if (recorded->outcome != MSG_COMPLETED &&
	    recorded->outcome != MSG_FAILED)
		return;
	msg.kind = MSG_START;
	msg.u.start =
		(msg_start_t){r->id, recorded->peer, recorded->http_status,
			      recorded->content_type};
	client_send(r->client, &msg);
	msg.kind = MSG_CHUNK;
	msg.u.chunk = (msg_chunk_t){r->id, 0, recorded->body};
	client_send(r->client, &msg);
}

/* Answers with a recorded result and ends the request. */
static void end_recorded(request_t *r, const ticket_result_t *recorded)
{
	char step[ERR_STEP_BYTES];
	char peer[ERR_PEER_BYTES];
	char message[ERR_MESSAGE_BYTES];
	request_result_t result = {
		.outcome = recorded->outcome,
		.step = step,
		.peer = peer,
		.http_status = recorded->http_status,
		.message = message,
	};

	str_copy(step, sizeof(step), recorded->step);
	str_copy(peer, sizeof(peer), recorded->peer);
	str_copy(message, sizeof(message), recorded->message);
	send_recorded(r, recorded);
	request_end(r, &result);
}

/* Puts the request on the list of the one that runs the ticket. */
static void wait_for_runner(request_t *r, uint64_t serial)
{
	request_result_t result = {
		.outcome = MSG_UNKNOWN,
		.step = "wait for the call",
		.peer = r->d->base.settings->host,
		.http_status = 504,
		.message = "the call's state is not known",
	};

	for (request_t *run = r->d->requests; run; run = run->next) {
		if (!run->has_ticket || run->serial != serial)
			continue;
		r->state = REQUEST_WAITING;
		free(r->body);
		r->body = NULL;
		r->body_len = 0;
		r->next_waiter = run->waiters;
		run->waiters = r;
		return;
	}
	request_end(r, &result);
}

static void end_verdict(request_t *r, ticket_verdict_t verdict)
{
	const verdict_answer_t *answer = &verdict_answers[verdict];
	request_result_t result = {
		.outcome = answer->outcome,
		.step = "check ticket",
		.peer = r->d->base.settings->host,
		.http_status = answer->http_status,
		.message = answer->message,
	};

	request_end(r, &result);
}

bool call_admit(request_t *r, str_t service)
{
	ticket_result_t recorded = {0};
	uint64_t serial = 0;
	ticket_verdict_t verdict;

	verdict =
		ticket_spend(r->d->tickets, str_from(r->ticket),
			     str_from(r->customer), service, str_from(r->call),
			     (str_t){r->body, r->body_len}, &serial, &recorded);
	switch (verdict) {
	case TICKET_RUN:
		r->has_ticket = true;
		r->serial = serial;
		return true;
	case TICKET_IN_PROGRESS:
		wait_for_runner(r, serial);
		return false;
	case TICKET_DONE:
		end_recorded(r, &recorded);
		return false;
	default:
		end_verdict(r, verdict);
		return false;
	}
}

static ticket_result_t make_result(const request_t *r,
				   const request_result_t *result)
{
	return (ticket_result_t){
		.outcome = result->outcome,
		.http_status = result->http_status,
		.content_type = str_from(r->head.content_type),
		.body = buf_view(&r->answer),
		.step = str_from(result->step),
		.peer = str_from(result->peer),
		.message = str_from(result->message),
	};
}

void call_finished(request_t *r, const request_result_t *result)
{
	ticket_result_t recorded = make_result(r, result);

	if (result->outcome == MSG_NOT_RUN)
		ticket_unspend(r->d->tickets, r->serial);
	else
		ticket_finish(r->d->tickets, r->serial, &recorded);
	while (r->waiters) {
		request_t *waiter = r->waiters;

		r->waiters = waiter->next_waiter;
		send_recorded(waiter, &recorded);
		request_end(waiter, result);
	}
}
