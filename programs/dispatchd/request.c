#include "dispatchd.h"

#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/placement.h"

#define MAX_CANDIDATES 256
#define MIN_RETRY_AFTER_MS 1000

static int64_t now_ms(const dispatchd_t *d)
{
	return mclock_now_ms(d->base.clock);
}

class_info_t *class_find(dispatchd_t *d, str_t name)
{
	for (size_t i = 0; i < d->class_count; i++)
		if (str_equals(str_from(d->classes[i].name), name))
			return &d->classes[i];
	return NULL;
}

static request_t *find_request(dispatchd_t *d, const client_t *client,
			       const msg_id_t *id)
{
	for (request_t *r = d->requests; r; r = r->next)
		if (r->client == client && msg_id_equals(&r->id, id))
			return r;
	return NULL;
}

static void unlink_request(request_t *r)
{
	dispatchd_t *d = r->d;

	if (r->prev)
		r->prev->next = r->next;
	else
		d->requests = r->next;
	if (r->next)
		r->next->prev = r->prev;
	d->request_count--;
}

void request_count_body(request_t *r, bool is_queued)
{
	size_t bytes = is_queued ? r->body_len : 0;

	r->d->queued_bytes[r->tier] -= r->queued_bytes;
	r->d->queued_bytes[r->tier] += bytes;
	r->queued_bytes = bytes;
}

static void free_request(request_t *r)
{
	request_count_body(r, false);
	unlink_request(r);
	trace_end(r->span);
	enginep_sse_release(&r->sse);
	completion_release(&r->completion);
	buf_release(&r->answer);
	free(r->body);
	free(r->ticket);
	free(r);
}

static void send_end(request_t *r, const request_result_t *result)
{
	msg_t msg = {.kind = MSG_END};

	msg.u.end = (msg_end_t){
		.id = r->id,
		.outcome = result->outcome,
		.step = str_from(result->step),
		.peer = str_from(result->peer),
		.http_status = result->http_status,
		.message = str_from(result->message),
		.retry_after_ms = (uint64_t)result->retry_after_ms,
		.retry_elsewhere = result->retry_elsewhere,
	};
	client_send(r->client, &msg);
}

static void log_end(const request_t *r, const request_result_t *result)
{
	metrics_add(METRIC_OUTCOMES,
		    str_from(msg_outcome_name(result->outcome)), 1);
	if (result->outcome == MSG_COMPLETED)
		return;
	plog_write(result->outcome == MSG_NOT_RUN ? PLOG_REQUEST_REFUSED :
						    PLOG_REQUEST_FAILED,
		   "id=%s class=%s outcome=%s step=\"%s\" peer=%s "
		   "message=\"%s\"",
		   r->id_text, r->class_name, msg_outcome_name(result->outcome),
		   result->step, result->peer, result->message);
}

void request_end(request_t *r, const request_result_t *result)
{
	if (r->has_ticket)
		call_finished(r, result);
	log_end(r, result);
	trace_set(r->span, "peridot.outcome",
		  str_from(msg_outcome_name(result->outcome)));
	if (result->outcome == MSG_FAILED || result->outcome == MSG_UNKNOWN)
		trace_set_status(r->span, TRACE_STATUS_ERROR,
				 str_from(result->message));
	send_end(r, result);
	free_request(r);
}

/* At least a second, so that a refused caller does not come back at once. */
static int64_t overload_retry_ms(int64_t wait_ms)
{
	return wait_ms > MIN_RETRY_AFTER_MS ? wait_ms : MIN_RETRY_AFTER_MS;
}

void request_end_not_run(request_t *r, const char *step, const char *message,
			 int64_t retry_after_ms)
{
	request_result_t result = {
		.outcome = MSG_NOT_RUN,
		.step = step,
		.peer = r->d->base.settings->host,
		.http_status = 503,
		.message = message,
		.retry_after_ms = retry_after_ms,
		.retry_elsewhere = true,
	};

	request_end(r, &result);
}

/* Requests that may be in flight over all endpoints of the pool. */
static unsigned pool_limit(dispatchd_t *d, const pool_t *pool,
			   unsigned *in_flight)
{
	unsigned limit = 0;

	*in_flight = 0;
	for (endpoint_t *e = d->endpoints; e; e = e->next) {
		if (e->pool != pool || !e->in_sheet)
			continue;
		limit += endpoint_limit(e);
		*in_flight += e->window.in_flight;
	}
	return limit;
}

int64_t pool_wait_ms(dispatchd_t *d, const pool_t *pool, unsigned tier)
{
	unsigned in_flight;
	unsigned limit = pool_limit(d, pool, &in_flight);
	double tokens = (double)queue_tokens_ahead(pool->queue, tier);

	if (in_flight < limit && queue_length(pool->queue) == 0)
		return 0;
	if (!limit)
		limit = 1;
	return (int64_t)(tokens * estimate_mean(&pool->ms_per_token) / limit);
}

static request_t *create_request(client_t *client, const msg_submit_t *submit)
{
	dispatchd_t *d = client->d;
	request_t *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->d = d;
	r->client = client;
	r->id = submit->id;
	msg_id_to_hex(&r->id, r->id_text);
	r->kind = submit->kind;
	r->stream = submit->stream;
	r->affinity = submit->affinity;
	str_copy(r->class_name, sizeof(r->class_name), submit->class_name);
	str_copy(r->customer, sizeof(r->customer), submit->customer);
	str_copy(r->call, sizeof(r->call), submit->call);
	r->body = str_dup(submit->body);
	r->body_len = submit->body.len;
	r->next_offset = submit->resume_offset;
	enginep_sse_init(&r->sse);
	r->span =
		trace_begin("dispatch", TRACE_KIND_SERVER, submit->traceparent);
	trace_set(r->span, "peridot.class", submit->class_name);
	r->next = d->requests;
	if (d->requests)
		d->requests->prev = r;
	d->requests = r;
	d->request_count++;
	return r;
}

static void fill_entry(request_t *r, const msg_submit_t *submit,
		       const class_info_t *info)
{
	dispatchd_t *d = r->d;
	uint64_t learned = (uint64_t)estimate_mean(&info->tokens);
	uint64_t cost = submit->cost_tokens;

	r->tier = info->tier;
	r->max_tokens = info->max_tokens;
	/* The caller's bound is often far above what comes. */
	if (!cost || cost > learned)
		cost = learned;
	r->entry = (queue_entry_t){
		.class_index = (unsigned)(info - d->classes),
		.customer = str_from(r->customer),
		.customer_weight = submit->customer_weight,
		.enqueued_ms = now_ms(d),
		.target_ms = now_ms(d) + (int64_t)submit->first_token_ms,
		.deadline_ms = now_ms(d) + (int64_t)submit->timeout_ms,
		.cost_tokens = cost ? cost : 1,
	};
}

/*
 * Whether the sheet in force allows the call to be repeated.
 *
 * RETURN VALUE: false when it has no such call.
 */
static bool find_call(const request_t *r, str_t service, bool *repeatable)
{
	const sheet_call_t *call = NULL;
	const sheet_t *sheet;
	int index;

	store_read_lock();
	sheet = store_sheet(r->d->base.store);
	index = sheet ? sheet_find_pool(sheet, SHEET_POOL_SERVICE, service) :
			-1;
	if (index >= 0)
		call = sheet_find_call(&sheet->pools[index], str_from(r->call));
	if (call)
		*repeatable = call->repeatable;
	store_read_unlock();
	return call != NULL;
}

static str_t service_name(const msg_submit_t *submit)
{
	static const char prefix[] = "service/";
	size_t len = sizeof(prefix) - 1;

	if (!str_starts_with(submit->pool, str_from(prefix)))
		return STR_LIT("");
	return (str_t){submit->pool.ptr + len, submit->pool.len - len};
}

/* Settles the ticket of a call. False when the request has been answered. */
static bool admit_call(request_t *r, const msg_submit_t *submit)
{
	str_t service = service_name(submit);
	request_result_t refusal = {
		.outcome = MSG_NOT_RUN,
		.step = "find call",
		.peer = r->d->base.settings->host,
		.http_status = 404,
		.message = "the service has no such call",
	};

	if (!find_call(r, service, &r->repeatable)) {
		request_end(r, &refusal);
		return false;
	}
	if (r->repeatable)
		return true;
	if (!submit->ticket.len) {
		refusal.step = "check ticket";
		refusal.http_status = 428;
		refusal.message = "the call needs a ticket";
		request_end(r, &refusal);
		return false;
	}
	r->ticket = str_dup(submit->ticket);
	return call_admit(r, service);
}

static void refuse_displaced(queue_entry_t *displaced)
{
	request_t *r = (request_t *)displaced;

	r->state = REQUEST_NEW;
	request_end_not_run(
		r, "queue", "displaced by a higher tier",
		overload_retry_ms(pool_wait_ms(r->d, r->pool, r->tier)));
}

/* Bytes of the bodies queued at this tier and above it. */
static size_t bytes_ahead(const dispatchd_t *d, unsigned tier)
{
	size_t bytes = 0;

	for (unsigned i = 0; i <= tier; i++)
		bytes += d->queued_bytes[i];
	return bytes;
}

/* Displaces lower tiers of all pools until the body fits, if need be. The last
 * entry of a class stays, so the bound may be exceeded by one body a class. */
static void make_room(dispatchd_t *d, unsigned tier, size_t bytes)
{
	for (size_t i = 0; i < d->pool_count; i++) {
		queue_entry_t *entry;

		while (bytes_ahead(d, SHEET_TIERS - 1) + bytes >
			       MAX_QUEUED_BYTES &&
		       (entry = queue_displace(d->pools[i]->queue, tier)))
			refuse_displaced(entry);
	}
}

static void enqueue(request_t *r)
{
	dispatchd_t *d = r->d;
	queue_entry_t *displaced = NULL;
	int64_t wait = pool_wait_ms(d, r->pool, r->tier);

	/* What lower tiers hold is no reason to refuse. */
	if (bytes_ahead(d, r->tier) + r->body_len > MAX_QUEUED_BYTES) {
		request_end_not_run(r, "queue",
				    "the queued bodies are too large",
				    overload_retry_ms(wait));
		return;
	}
	make_room(d, r->tier, r->body_len);
	switch (queue_push(r->pool->queue, &r->entry, now_ms(d), wait,
			   &displaced)) {
	case QUEUE_ACCEPTED:
		r->state = REQUEST_QUEUED;
		request_count_body(r, true);
		break;
	case QUEUE_FULL:
		request_end_not_run(r, "queue", "the queue is full",
				    overload_retry_ms(wait));
		break;
	case QUEUE_TOO_LATE:
		request_end_not_run(r, "queue",
				    "the expected wait is above the timeout",
				    overload_retry_ms(wait));
		break;
	}
	if (displaced)
		refuse_displaced(displaced);
}

/* Continues a stream that another dispatcher has lost. */
static void resume(request_t *r, const msg_submit_t *submit)
{
	endpoint_t *e = endpoint_find(r->d, submit->resume_endpoint);
	request_result_t result = {
		.outcome = MSG_FAILED,
		.step = "resume stream",
		.peer = r->d->base.settings->host,
		.http_status = 502,
		.message = "the endpoint is not known here",
	};

	if (!e || !transfer_resume(r, e))
		request_end(r, &result);
}

void request_submit(client_t *client, const msg_submit_t *submit)
{
	dispatchd_t *d = client->d;
	const class_info_t *info = class_find(d, submit->class_name);
	request_t *r = create_request(client, submit);

	r->pool = pool_find(d, submit->pool);
	r->repeatable = submit->kind == MSG_MODEL;
	if (info)
		fill_entry(r, submit, info);
	/* A known ticket is answered from memory also while leaving. */
	if (submit->kind == MSG_CALL && !admit_call(r, submit))
		return;
	if (d->leaving) {
		request_end_not_run(r, "admit", "the host is leaving",
				    RETRY_NOW);
		return;
	}
	if (info && r->pool && submit->resume_endpoint.len) {
		resume(r, submit);
		return;
	}
	if (!info || !r->pool || !pool_is_served(d, r->pool)) {
		request_end_not_run(r, "admit",
				    "no usable endpoint at this host",
				    RETRY_NOW);
		return;
	}
	enqueue(r);
	requests_dispatch(d);
}

static void abandon(request_t *r, bool link_is_down)
{
	switch (r->state) {
	case REQUEST_QUEUED:
		r->client = NULL;
		queue_remove(r->pool->queue, &r->entry);
		r->state = REQUEST_NEW;
		request_end_not_run(r, "queue", "cancelled", 0);
		break;
	case REQUEST_SENT:
		r->client = NULL;
		/* A call can't be undone; its result stays with the ticket. */
		if (r->has_ticket)
			break;
		if (link_is_down)
			transfer_abandon(r);
		else
			transfer_cancel(r);
		metrics_add(METRIC_TOKENS_WASTED, str_from(r->class_name),
			    r->tokens);
		free_request(r);
		break;
	case REQUEST_WAITING:
	case REQUEST_NEW:
		r->client = NULL;
		break;
	}
}

void request_cancel(client_t *client, const msg_id_t *id)
{
	request_t *r = find_request(client->d, client, id);

	if (r)
		abandon(r, false);
	requests_dispatch(client->d);
}

void request_on_client_down(client_t *client)
{
	dispatchd_t *d = client->d;
	request_t *next;

	for (request_t *r = d->requests; r; r = next) {
		next = r->next;
		if (r->client == client)
			abandon(r, true);
	}
}

/* Endpoints of the pool that have room now. */
static size_t find_candidates(dispatchd_t *d, const pool_t *pool,
			      placement_endpoint_t *rows, endpoint_t **found)
{
	size_t count = 0;

	for (endpoint_t *e = d->endpoints; e; e = e->next) {
		if (e->pool != pool || !e->in_sheet || count == MAX_CANDIDATES)
			continue;
		if (!endpoint_may_send(e) || e->window.in_flight >= e->limit)
			continue;
		found[count] = e;
		rows[count++] = (placement_endpoint_t){
			str_from(e->name), e->window.in_flight, e->limit,
			e->window.reported_waiting,
			e->window.median_first_token_ms};
	}
	return count;
}

static void expire(request_t *r)
{
	r->state = REQUEST_NEW;
	request_end_not_run(
		r, "queue", "not started before the timeout",
		overload_retry_ms(pool_wait_ms(r->d, r->pool, r->tier)));
}

/* Sends one queued request. False when nothing can be sent now. */
static bool dispatch_one(dispatchd_t *d, pool_t *pool)
{
	placement_endpoint_t rows[MAX_CANDIDATES];
	endpoint_t *found[MAX_CANDIDATES];
	size_t count;
	request_t *r;
	int choice;

	if (!queue_length(pool->queue))
		return false;
	count = find_candidates(d, pool, rows, found);
	if (!count)
		return false;
	r = (request_t *)queue_pop(pool->queue, now_ms(d));
	if (!r)
		return false;
	if (r->entry.deadline_ms <= now_ms(d)) {
		expire(r);
		return true;
	}
	choice = placement_pick_endpoint(rows, count, r->affinity);
	if (choice < 0 || !endpoint_may_send(found[choice])) {
		queue_push_back(pool->queue, &r->entry);
		return false;
	}
	if (!transfer_start(r, found[choice])) {
		r->state = REQUEST_NEW;
		request_end_not_run(r, "send",
				    "the request could not be set up",
				    HOST_RETRY_AFTER_MS);
	}
	return true;
}

void requests_dispatch(dispatchd_t *d)
{
	dispatchd_check_pause(d);
	if (d->leaving || dispatchd_is_holding(d))
		return;
	for (size_t i = 0; i < d->pool_count; i++)
		while (dispatch_one(d, d->pools[i]))
			;
}

/* A request at an endpoint whose caller's time is over. */
static void time_out(request_t *r)
{
	request_result_t result = {
		.outcome = MSG_UNKNOWN,
		.step = "wait for the answer",
		.peer = r->endpoint ? r->endpoint->name :
				      r->d->base.settings->host,
		.http_status = 504,
		.message = "no whole answer before the timeout",
		.retry_after_ms = MIN_RETRY_AFTER_MS,
	};

	if (r->state == REQUEST_WAITING || r->has_ticket) {
		/* The caller may ask again with the ticket. */
		send_end(r, &result);
		log_end(r, &result);
		r->client = NULL;
		return;
	}
	if (r->started && r->tokens)
		result.outcome = MSG_FAILED;
	if (!r->first_token_seen)
		window_on_silence(&r->endpoint->window, now_ms(r->d));
	metrics_add(METRIC_TOKENS_WASTED, str_from(r->class_name), r->tokens);
	transfer_cancel(r);
	request_end(r, &result);
}

static void send_queued_on(dispatchd_t *d, const pool_t *pool)
{
	request_t *next;

	for (request_t *r = d->requests; r; r = next) {
		next = r->next;
		if (r->state != REQUEST_QUEUED || r->pool != pool)
			continue;
		queue_remove(r->pool->queue, &r->entry);
		r->state = REQUEST_NEW;
		request_end_not_run(r, "queue",
				    "this host has no endpoint for it any more",
				    RETRY_NOW);
	}
}

/* Sends queued requests on when the last endpoint that could take them left
 * this host, by the sheet or to another owner. */
static void refuse_unserved(dispatchd_t *d)
{
	for (size_t i = 0; i < d->pool_count; i++)
		if (queue_length(d->pools[i]->queue) &&
		    !pool_is_served(d, d->pools[i]))
			send_queued_on(d, d->pools[i]);
}

void requests_tick(dispatchd_t *d)
{
	request_t *next;

	for (size_t i = 0; i < d->pool_count; i++) {
		queue_entry_t *entry;

		while ((entry = queue_pop_expired(d->pools[i]->queue,
						  now_ms(d))))
			expire((request_t *)entry);
	}
	refuse_unserved(d);
	for (request_t *r = d->requests; r; r = next) {
		next = r->next;
		if ((r->state == REQUEST_SENT || r->state == REQUEST_WAITING) &&
		    r->client && r->entry.deadline_ms <= now_ms(d))
			time_out(r);
	}
	requests_dispatch(d);
}

void requests_refuse_queued(dispatchd_t *d, const char *reason)
{
	request_t *next;

	for (request_t *r = d->requests; r; r = next) {
		next = r->next;
		if (r->state != REQUEST_QUEUED)
			continue;
		queue_remove(r->pool->queue, &r->entry);
		r->state = REQUEST_NEW;
		request_end_not_run(r, "queue", reason, RETRY_NOW);
	}
}

static void apply_classes(dispatchd_t *d, const sheet_t *sheet)
{
	class_info_t fresh[SHEET_MAX_CLASSES];

	for (size_t i = 0; i < sheet->class_count; i++) {
		const sheet_class_t *row = &sheet->classes[i];
		const class_info_t *known = class_find(d, row->name);

		str_copy(fresh[i].name, sizeof(fresh[i].name), row->name);
		fresh[i].tier = row->tier;
		fresh[i].max_tokens = row->max_tokens;
		if (known)
			fresh[i].tokens = known->tokens;
		else
			estimate_init(&fresh[i].tokens, row->expected_tokens);
	}
	memcpy(d->classes, fresh, sheet->class_count * sizeof(fresh[0]));
	d->class_count = sheet->class_count;
}

void requests_apply_sheet(dispatchd_t *d, const sheet_t *sheet)
{
	apply_classes(d, sheet);
	for (size_t i = 0; i < d->pool_count; i++) {
		queue_entry_t *dropped = NULL;

		queue_apply_sheet(d->pools[i]->queue, sheet, &dropped);
		while (dropped) {
			request_t *r = (request_t *)dropped;

			dropped = dropped->next;
			r->state = REQUEST_NEW;
			request_end_not_run(r, "queue", "the class is gone",
					    HOST_RETRY_AFTER_MS);
		}
	}
	refuse_unserved(d);
}

void requests_free(dispatchd_t *d)
{
	request_t *next;

	for (request_t *r = d->requests; r; r = next) {
		next = r->next;
		r->client = NULL;
		if (r->state == REQUEST_QUEUED)
			queue_remove(r->pool->queue, &r->entry);
		fetch_cancel(r->fetch);
		free_request(r);
	}
}
