#include "entryd.h"

#include <assert.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"

/* The dispatcher answers at the timeout; the entry daemon waits a little
 * longer before it answers without it. */
#define DEADLINE_MARGIN_MS 250

static int64_t now_ms(const entryd_t *d)
{
	return mclock_now_ms(d->base.clock);
}

static int64_t left_ms(const exchange_t *x)
{
	return x->started_ms + x->timeout_ms - now_ms(x->d);
}

static void unlink_exchange(exchange_t *x)
{
	entryd_t *d = x->d;

	loop_timer_cancel(d->base.loop, &x->deadline);
	if (x->prev)
		x->prev->next = x->next;
	else
		d->exchanges = x->next;
	if (x->next)
		x->next->prev = x->prev;
	x->prev = x->next = NULL;
}

/* What the caller is told; the views are copied. */
typedef struct verdict {
	msg_outcome_t outcome;
	unsigned http_status;
	str_t step;
	str_t peer;
	str_t message;
	int64_t retry_after_ms;
} verdict_t;

/* Ends the exchange; it must not be used afterwards. */
static void finish(exchange_t *x, const verdict_t *verdict)
{
	ending_t *ending = &x->ending;

	ending->outcome = verdict->outcome;
	ending->http_status = verdict->http_status;
	ending->retry_after_ms = verdict->retry_after_ms;
	/* An earlier attempt may have run although the last one did not. */
	if (verdict->outcome == MSG_NOT_RUN && x->may_have_run) {
		ending->outcome = MSG_UNKNOWN;
		ending->http_status = 504;
	}
	/* A dispatcher that leaves states no time, and a ticketed call can't be
	 * tried elsewhere; its caller needs a time to retry nevertheless. */
	if ((ending->http_status == 429 || ending->http_status == 503) &&
	    ending->retry_after_ms < DEFAULT_RETRY_AFTER_MS)
		ending->retry_after_ms = DEFAULT_RETRY_AFTER_MS;
	str_copy(ending->step, sizeof(ending->step), verdict->step);
	str_copy(ending->peer, sizeof(ending->peer), verdict->peer);
	str_copy(ending->message, sizeof(ending->message), verdict->message);
	memcpy(ending->content_type, x->content_type,
	       sizeof(ending->content_type));
	ending->answer = x->collected;
	x->collected = (buf_t)BUF_INIT;
	unlink_exchange(x);
	exchange_end(x);
}

static void finish_not_run(exchange_t *x, unsigned status, const char *step,
			   const char *message, int64_t retry_after_ms)
{
	verdict_t verdict = {
		.outcome = MSG_NOT_RUN,
		.http_status = status,
		.step = str_from(step),
		.peer = str_from(x->d->base.settings->host),
		.message = str_from(message),
		.retry_after_ms = retry_after_ms,
	};

	finish(x, &verdict);
}

static void finish_unknown(exchange_t *x, const char *step, str_t peer,
			   const char *message)
{
	verdict_t verdict = {
		.outcome = x->next_offset ? MSG_FAILED : MSG_UNKNOWN,
		.http_status = 504,
		.step = str_from(step),
		.peer = peer,
		.message = str_from(message),
		.retry_after_ms = DEFAULT_RETRY_AFTER_MS,
	};

	finish(x, &verdict);
}

static bool was_tried(const exchange_t *x, const member_t *member)
{
	for (unsigned i = 0; i < x->tried_count; i++)
		if (!strcmp(x->tried[i], member->address))
			return true;
	return false;
}

static void mark_tried(exchange_t *x, const member_t *member)
{
	if (x->tried_count < MAX_TRIED)
		str_copy(x->tried[x->tried_count++], SHEET_NAME_BYTES,
			 str_from(member->address));
}

static const msg_pool_t *find_pool(const member_t *member, const char *pool)
{
	for (size_t i = 0; i < member->pool_count; i++)
		if (str_equals(member->pools[i].name, str_from(pool)))
			return &member->pools[i];
	return NULL;
}

/* Region of a domain; empty when the sheet does not know it. */
static str_t region_of(const sheet_t *sheet, str_t domain)
{
	int index = sheet ? sheet_find_domain(sheet, domain) : -1;

	return index < 0 ? STR_LIT("") : sheet->domains[index].region;
}

static bool is_candidate(const entryd_t *d, const member_t *member)
{
	return member_is_live(peers_table(d->base.peers), member) &&
	       peers_is_linked(member) && !member_is_leaving(member);
}

/* Requests that this process sent to the member's pool after the member last
 * reported its load. Without them, every request between two reports would go
 * to the same dispatcher. */
static unsigned count_unreported(const exchange_t *x, const member_t *member)
{
	unsigned count = 0;

	for (const exchange_t *o = x->d->exchanges; o; o = o->next)
		if (o->member == member && o->sent_ms > member->heard_ms &&
		    !strcmp(o->pool, x->pool))
			count++;
	return count;
}

static void fill_row(const exchange_t *x, const member_t *member,
		     const msg_pool_t *pool, const sheet_t *sheet,
		     placement_dispatcher_t *row)
{
	str_t own = str_from(x->d->base.settings->domain);
	str_t domain = str_from(member->domain);

	*row = (placement_dispatcher_t){
		.host = str_from(member->host),
		.same_domain = str_equals(domain, own),
		.same_region = str_equals(region_of(sheet, domain),
					  region_of(sheet, own)),
		.warm = pool->warm,
		.window = pool->window,
		.in_flight = pool->in_flight + count_unreported(x, member),
		.queued = pool->queued,
		.wait_ms = (int64_t)pool->wait_ms,
		.tried = was_tried(x, member),
	};
}

/* The dispatcher for the next attempt, or NULL. */
static member_t *choose_member(const exchange_t *x)
{
	const member_table_t *table = peers_table(x->d->base.peers);
	placement_dispatcher_t rows[MEMBER_MAX];
	member_t *members[MEMBER_MAX];
	const sheet_t *sheet;
	size_t count = 0;
	int choice;

	store_read_lock();
	sheet = store_sheet(x->d->base.store);
	for (size_t i = 0; i < member_count(table); i++) {
		member_t *member = member_at(table, i);
		const msg_pool_t *pool = find_pool(member, x->pool);

		assert(member);
		if (!pool || !is_candidate(x->d, member))
			continue;
		fill_row(x, member, pool, sheet, &rows[count]);
		members[count++] = member;
	}
	choice = placement_pick_dispatcher(
		rows, count, x->first_token_ms - (now_ms(x->d) - x->started_ms),
		x->cross_region, x->affinity);
	store_read_unlock();
	return choice < 0 ? NULL : members[choice];
}

/* Domain of the endpoint that streams the answer; empty when unknown. */
static void copy_endpoint_domain(const exchange_t *x,
				 char domain[SHEET_NAME_BYTES])
{
	const sheet_t *sheet;
	int index;

	domain[0] = '\0';
	store_read_lock();
	sheet = store_sheet(x->d->base.store);
	index = sheet ? sheet_find_endpoint(sheet, str_from(x->endpoint)) : -1;
	if (index >= 0)
		str_copy(domain, SHEET_NAME_BYTES,
			 sheet->domains[sheet->endpoints[index].domain_index]
				 .name);
	store_read_unlock();
}

/* A dispatcher of the endpoint's domain, which can ask it to resume; it need
 * not own the endpoint, since nothing new begins to run. For the same reason it
 * may be one that refused to run the request. */
static member_t *choose_for_resume(const exchange_t *x)
{
	const member_table_t *table = peers_table(x->d->base.peers);
	char domain[SHEET_NAME_BYTES];

	copy_endpoint_domain(x, domain);
	for (size_t i = 0; i < member_count(table); i++) {
		member_t *member = member_at(table, i);

		if (!strcmp(member->domain, domain) &&
		    is_candidate(x->d, member))
			return member;
	}
	return NULL;
}

static msg_t make_submit(const exchange_t *x)
{
	int64_t waited = now_ms(x->d) - x->started_ms;
	int64_t left = left_ms(x);
	msg_t msg = {.kind = MSG_SUBMIT};

	msg.u.submit = (msg_submit_t){
		.id = x->id,
		.kind = x->kind,
		.pool = str_from(x->pool),
		.class_name = str_from(x->class_name),
		.customer = str_from(x->customer),
		.customer_weight = x->customer_weight,
		.call = str_from(x->call),
		.ticket = x->ticket,
		.timeout_ms = left > 0 ? (uint64_t)left : 0,
		.first_token_ms =
			waited < x->first_token_ms ?
				(uint64_t)(x->first_token_ms - waited) :
				0,
		.cost_tokens = x->cost_tokens,
		.affinity = x->affinity,
		.traceparent = str_from(x->traceparent),
		.resume_endpoint =
			x->next_offset ? str_from(x->endpoint) : STR_LIT(""),
		.resume_offset = x->next_offset,
		.stream = x->stream,
		.body = x->body,
	};
	return msg;
}

static bool submit_to(exchange_t *x, member_t *member)
{
	msg_t msg;

	/* A stream that goes on keeps the id that the engine knows. */
	if (!x->next_offset)
		x->id = msg_id_random();
	x->status = 0;
	buf_reset(&x->collected);
	msg = make_submit(x);
	mark_tried(x, member);
	if (peers_send(x->d->base.peers, member, &msg))
		return false;
	x->member = member;
	x->sent_ms = now_ms(x->d);
	x->attempts++;
	return true;
}

static bool ask_ticket(exchange_t *x, member_t *member)
{
	msg_t msg = {.kind = MSG_TICKET_GET};

	x->id = msg_id_random();
	msg.u.ticket_get =
		(msg_ticket_get_t){x->id, str_from(x->customer),
				   str_from(x->service), str_from(x->call)};
	mark_tried(x, member);
	if (peers_send(x->d->base.peers, member, &msg))
		return false;
	x->member = member;
	x->wants_ticket = true;
	return true;
}

/* Sends the request to the next dispatcher, or ends it. */
static void route(exchange_t *x, int64_t retry_after_ms)
{
	member_t *member;

	x->member = NULL;
	if (left_ms(x) <= 0) {
		finish_not_run(x, 503, "route",
			       "not started before the timeout",
			       DEFAULT_RETRY_AFTER_MS);
		return;
	}
	while (x->tried_count < MAX_TRIED) {
		bool needs_ticket =
			x->kind == MSG_CALL && !x->repeatable && !x->ticket.len;

		member = x->next_offset ? choose_for_resume(x) :
					  choose_member(x);
		if (!member)
			break;
		if (needs_ticket ? ask_ticket(x, member) : submit_to(x, member))
			return;
	}
	if (x->next_offset) {
		finish_unknown(x, "resume stream", str_from(x->endpoint),
			       "no dispatcher can resume the stream");
		return;
	}
	finish_not_run(x, 503, "route",
		       x->tried_count ? "every dispatcher refused the request" :
					"no dispatcher serves this pool",
		       retry_after_ms > DEFAULT_RETRY_AFTER_MS ?
			       retry_after_ms :
			       DEFAULT_RETRY_AFTER_MS);
}

/* A ticketed call goes to the process that issued the ticket, only there. */
static void route_to_issuer(exchange_t *x)
{
	char address[SHEET_NAME_BYTES];
	ticket_name_t name;
	member_t *member;
	err_t err;

	if (ticket_parse(x->ticket, &name, &err)) {
		finish_not_run(x, 400, "check ticket", err.message, 0);
		return;
	}
	str_copy(address, sizeof(address), name.address);
	/* Only known members are asked: the address comes from the caller. */
	member = member_find(peers_table(x->d->base.peers), str_from(address));
	if (!member || !submit_to(x, member))
		finish_unknown(x, "route", str_from(address),
			       "the process that issued the ticket can't be "
			       "reached");
}

static unsigned count_of_customer(const entryd_t *d, const exchange_t *x)
{
	unsigned count = 0;

	for (const exchange_t *o = d->exchanges; o; o = o->next)
		count += !strcmp(o->customer, x->customer);
	return count;
}

static void on_deadline(void *user)
{
	exchange_t *x = user;
	msg_t msg = {.kind = MSG_CANCEL};
	member_t *member = x->member;

	if (member) {
		msg.u.cancel.id = x->id;
		peers_send(x->d->base.peers, member, &msg);
	}
	if (!member || x->wants_ticket)
		finish_not_run(x, 503, "route", "no answer before the timeout",
			       DEFAULT_RETRY_AFTER_MS);
	else
		finish_unknown(x, "wait for the dispatcher",
			       str_from(member->address),
			       "no answer before the timeout");
}

void route_begin(void *user)
{
	exchange_t *x = user;
	entryd_t *d = x->d;

	x->next = d->exchanges;
	if (d->exchanges)
		d->exchanges->prev = x;
	d->exchanges = x;
	loop_timer_set(d->base.loop, &x->deadline,
		       left_ms(x) + DEADLINE_MARGIN_MS, on_deadline, x);
	if (count_of_customer(d, x) > x->customer_limit) {
		finish_not_run(x, 429, "admit",
			       "too many requests of this customer in flight",
			       DEFAULT_RETRY_AFTER_MS);
		return;
	}
	retry_on_request(&d->budgets[x->class_index]);
	if (x->ticket.len)
		route_to_issuer(x);
	else
		route(x, 0);
}

void route_cancel(void *user)
{
	exchange_t *x = user;
	msg_t msg = {.kind = MSG_CANCEL};

	/* The end may already be on its way to the worker. */
	if (x->ending.outcome)
		return;
	if (x->member) {
		msg.u.cancel.id = x->id;
		peers_send(x->d->base.peers, x->member, &msg);
	}
	finish_unknown(x, "answer", STR_LIT("caller"), "the caller hung up");
}

static exchange_t *find_exchange(entryd_t *d, const member_t *member,
				 const msg_id_t *id)
{
	for (exchange_t *x = d->exchanges; x; x = x->next)
		if (x->member == member && msg_id_equals(&x->id, id))
			return x;
	return NULL;
}

static void take_start(exchange_t *x, const msg_start_t *start)
{
	x->status = start->http_status;
	str_copy(x->endpoint, sizeof(x->endpoint), start->endpoint);
	str_copy(x->content_type, sizeof(x->content_type), start->content_type);
}

static void retry_or_finish(exchange_t *x, const verdict_t *verdict,
			    bool elsewhere);

static void too_slow(exchange_t *x)
{
	msg_t msg = {.kind = MSG_CANCEL};

	msg.u.cancel.id = x->id;
	peers_send(x->d->base.peers, x->member, &msg);
	finish_unknown(x, "answer", STR_LIT("caller"),
		       "the caller reads too slowly");
}

static bool is_event_stream(const exchange_t *x)
{
	return x->stream && x->status == 200 &&
	       !strcmp(x->content_type, "text/event-stream");
}

static void take_chunk(exchange_t *x, const msg_chunk_t *chunk)
{
	verdict_t gap = {MSG_FAILED,
			 502,
			 STR_LIT("read answer"),
			 str_from(x->member->address),
			 STR_LIT("a part of the answer is missing"),
			 DEFAULT_RETRY_AFTER_MS};

	if (!is_event_stream(x)) {
		buf_append_str(&x->collected, chunk->bytes);
		return;
	}
	if (chunk->offset < x->next_offset)
		return; /* delivered before the stream was resumed */
	if (chunk->offset > x->next_offset) {
		finish(x, &gap);
		return;
	}
	x->next_offset++;
	if (!exchange_push(x, chunk->bytes))
		too_slow(x);
}

/* Whether another attempt is allowed and makes sense. */
static bool may_retry(exchange_t *x, const verdict_t *verdict, bool elsewhere)
{
	bool moved =
		verdict->outcome == MSG_NOT_RUN && verdict->retry_after_ms == 0;

	if (!elsewhere || x->ticket.len || left_ms(x) <= 0)
		return false;
	if (verdict->outcome != MSG_NOT_RUN && !x->repeatable)
		return false;
	/* A host that leaves sends its requests on; that is no overload. */
	if (moved)
		return x->tried_count < MAX_TRIED;
	return x->attempts < RETRY_MAX_ATTEMPTS &&
	       retry_take(&x->d->budgets[x->class_index]);
}

static void retry_or_finish(exchange_t *x, const verdict_t *verdict,
			    bool elsewhere)
{
	if (!may_retry(x, verdict, elsewhere)) {
		finish(x, verdict);
		return;
	}
	if (verdict->outcome != MSG_NOT_RUN)
		x->may_have_run = true;
	metrics_add(METRIC_RETRIES, str_from(x->class_name), 1);
	route(x, verdict->retry_after_ms);
}

static void take_end(exchange_t *x, const msg_end_t *end)
{
	verdict_t verdict = {
		.outcome = end->outcome,
		.http_status = end->http_status,
		.step = end->step,
		.peer = end->peer,
		.message = end->message,
		.retry_after_ms = (int64_t)end->retry_after_ms,
	};

	/* Its dispatcher has tried to resume a broken stream already. A
	 * resumption that did not run leaves the stream as broken as before. */
	if (x->next_offset && end->outcome == MSG_NOT_RUN)
		verdict.outcome = MSG_FAILED;
	if (end->outcome == MSG_COMPLETED || x->next_offset)
		finish(x, &verdict);
	else
		retry_or_finish(x, &verdict, end->retry_elsewhere);
}

static void take_ticket(exchange_t *x, const msg_ticket_t *ticket)
{
	x->wants_ticket = false;
	if (!ticket->ticket.len) {
		route(x, 0);
		return;
	}
	str_copy(x->ending.ticket, sizeof(x->ending.ticket), ticket->ticket);
	finish_not_run(x, 428, "check ticket",
		       "send the call again with this ticket", 0);
}

void route_on_message(void *user, member_t *member, const msg_t *msg)
{
	entryd_t *d = user;
	exchange_t *x;

	switch (msg->kind) {
	case MSG_START:
		x = find_exchange(d, member, &msg->u.start.id);
		if (x)
			take_start(x, &msg->u.start);
		break;
	case MSG_CHUNK:
		x = find_exchange(d, member, &msg->u.chunk.id);
		if (x)
			take_chunk(x, &msg->u.chunk);
		break;
	case MSG_END:
		x = find_exchange(d, member, &msg->u.end.id);
		if (x)
			take_end(x, &msg->u.end);
		break;
	case MSG_TICKET:
		x = find_exchange(d, member, &msg->u.ticket.id);
		if (x)
			take_ticket(x, &msg->u.ticket);
		break;
	case MSG_NODE:
		confsync_on_node(d->base.confsync, peers_link(member),
				 &msg->u.node);
		break;
	case MSG_NODE_GET:
		/* A sheet that an operator handed to this daemon. */
		confsync_serve(d->base.confsync, peers_link(member),
			       &msg->u.node_get);
		break;
	default:
		break;
	}
}

/* The dispatcher that had the request is gone. */
static void lose_member(exchange_t *x, member_t *member)
{
	verdict_t lost = {MSG_UNKNOWN,
			  504,
			  STR_LIT("wait for the dispatcher"),
			  str_from(member->address),
			  STR_LIT("the connection broke"),
			  DEFAULT_RETRY_AFTER_MS};

	if (x->wants_ticket) {
		x->wants_ticket = false;
		route(x, 0);
		return;
	}
	/* A dispatcher that refused to run the request may still resume it. */
	if (x->next_offset) {
		lost.outcome = MSG_FAILED;
		x->tried_count = 0;
		mark_tried(x, member);
	}
	retry_or_finish(x, &lost, x->repeatable);
}

void route_on_down(void *user, member_t *member)
{
	entryd_t *d = user;
	exchange_t *next;

	confsync_on_down(d->base.confsync, peers_link(member));
	for (exchange_t *x = d->exchanges; x; x = next) {
		next = x->next;
		if (x->member == member)
			lose_member(x, member);
	}
}
