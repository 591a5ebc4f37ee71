#include "request/crashes.h"

#include <string.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/crashcheck.h"

/* Hash of what the request asks for, the same when a caller repeats it. */
static uint64_t hash_request(const request_t *request)
{
	str_t target = http1_target(request->head);
	uint64_t hash = XXH64(target.ptr, target.len, request->head->method);

	return XXH64(request->body.ptr, request->body.len, hash);
}

void crashes_read_inputs(request_t *request)
{
	const prompt_parts_t *parts = &request->call.parts;

	request->input_count = prompt_parts_shared_ids(parts);
	memcpy(request->inputs, parts->ids,
	       request->input_count * sizeof(*parts->ids));
	request->inputs[request->input_count++] = hash_request(request);
}

const crash_block_t *crashes_find_block(const request_t *request)
{
	return crashboard_find(request->router->crashes, request->inputs,
			       request->input_count);
}

/* True when the response has gone on for so long that its beginning can't have
 * crashed the endpoint. */
static bool is_past_beginning(const request_t *request)
{
	return request->answer_began_ms &&
	       router_now_ms(request->router) - request->answer_began_ms >=
		       CRASHBOARD_BEGIN_MS;
}

/* Removes inputs that were sound shortly before; they are not suspected. */
static size_t select_suspects(const request_t *request, uint64_t *suspects)
{
	const router_t *router = request->router;
	size_t selected = 0;

	for (size_t i = 0; i < request->input_count; i++)
		if (!crashboard_is_sound(router->crashes, request->inputs[i],
					 router_now_ms(router)))
			suspects[selected++] = request->inputs[i];
	return selected;
}

void crashes_on_lost(request_t *request)
{
	uint64_t suspects[REQUEST_MAX_INPUTS];
	endpoint_t *endpoint = request->endpoint;
	size_t count;

	if (request->last_break != SEND_BREAK_CLOSED &&
	    request->last_break != SEND_BREAK_RESET)
		return;
	if (endpoint->state == ENDPOINT_LEAVING || is_past_beginning(request))
		return;
	count = select_suspects(request, suspects);
	if (count)
		crashcheck_start(request->router, endpoint, suspects, count);
}

void crashes_on_sound(request_t *request)
{
	if (request->reported_sound)
		return;
	request->reported_sound = true;
	crashboard_on_sound(request->router->crashes, request->inputs,
			    request->input_count, request->answer_began_ms);
}

void crashes_on_reply(router_t *router, const endpoint_t *endpoint,
		      int64_t opened_ms)
{
	crashboard_refute(router->crashes, endpoint->process_hash, opened_ms);
}

void crashes_report(router_t *router, const crash_report_t *report)
{
	crash_report_t own = *report;

	own.reporters[0] = router->crash_observer.host;
	own.reporter_count = 1;
	crashboard_add(router->crashes, &own);
	metrics_inc(METRIC_CRASHES);
	if (router->crash_observer.on_crash)
		router->crash_observer.on_crash(router->crash_observer.user,
						&own);
	crashes_update(router);
}

static void log_blocks(const router_t *router)
{
	size_t count;
	const crash_block_t *blocks =
		crashboard_blocks(router->crashes, &count);
	int64_t now_ms = router_now_ms(router);

	plog_write(PLOG_BLOCKS_CHANGED, "blocks=%zu", count);
	for (size_t i = 0; i < count; i++)
		for (size_t j = 0; j < blocks[i].input_count; j++)
			plog_write(
				PLOG_INPUT_BLOCKED,
				"input=%llx with=%zu crashes=%u left_ms=%lld",
				(unsigned long long)blocks[i].inputs[j],
				blocks[i].input_count - 1, blocks[i].crashes,
				(long long)(blocks[i].until_ms - now_ms));
}

/* Ends the send of a request that is now blocked, before an endpoint begins to
 * answer it. */
static void end_if_blocked(request_t *request)
{
	if (request->endpoint && !request->answer_began_ms &&
	    crashes_find_block(request))
		request_withdraw(request);
}

static void end_blocked_requests(router_t *router)
{
	for (caller_t *caller = router->callers, *next; caller; caller = next) {
		next = caller->next;
		if (caller->request)
			end_if_blocked(caller->request);
	}
}

void crashes_update(router_t *router)
{
	if (!crashboard_update(router->crashes, router_now_ms(router)))
		return;
	log_blocks(router);
	end_blocked_requests(router);
}
