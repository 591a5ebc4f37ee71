#include "request/crashsync.h"

#include "request/crashes.h"

/* How often, and for how long, a host repeats its own reports: until a failed
 * relay has been replaced. */
#define OWN_INTERVAL_MS 1000
#define OWN_MS 10000
#define DIGEST_INTERVAL_MS 1000
/* Time in which reports of sound answers arrive from all hosts: rounds in which
 * a host and its relay send, and the way between regions. */
#define SETTLE_ROUNDS 2
#define SETTLE_MS 300

static int64_t current_ms(const crashsync_t *sync)
{
	return router_now_ms(sync->router);
}

/* crashnews_t as a message on its way to all hosts. */
typedef struct outgoing {
	relays_message_t base;
	crashnews_t *news;
	crashnews_kind_t to_own_relay;
	int64_t now_ms;
} outgoing_t;

static void write_news(const relays_message_t *message, relays_step_t step,
		       buf_t *out)
{
	const outgoing_t *outgoing = (const outgoing_t *)message;
	const crashnews_kind_t kinds[] = {outgoing->to_own_relay,
					  CRASHNEWS_REGION, CRASHNEWS_RELAY};

	outgoing->news->kind = kinds[step];
	crashnews_write(outgoing->news, outgoing->now_ms, out);
}

static const relays_message_ops_t message_ops = {write_news};

static outgoing_t make_outgoing(const crashsync_t *sync, crashnews_t *news,
				crashnews_kind_t to_own_relay)
{
	news->source = sync->host_id;
	return (outgoing_t){
		{&message_ops}, news, to_own_relay, current_ms(sync)};
}

/* Sends news to all hosts; to the own relay in a message of kind `to_relay`. */
static void distribute(const crashsync_t *sync, crashnews_t *news,
		       crashnews_kind_t to_relay)
{
	outgoing_t outgoing = make_outgoing(sync, news, to_relay);

	if (news->crash_count || news->sound_count)
		relays_distribute(sync->relays, &outgoing.base);
}

static void send_report(const crashsync_t *sync, const crash_report_t *report)
{
	crashnews_t news = {.crash_count = 0};

	crashnews_add(&news, report);
	distribute(sync, &news, CRASHNEWS_HOST);
}

static void on_crash(void *user, const crash_report_t *report)
{
	crashsync_t *sync = user;
	crashsync_own_t *own =
		&sync->own[sync->own_count++ % CRASHSYNC_MAX_OWN];

	own->report = *report;
	own->repeat_ms = current_ms(sync) + OWN_INTERVAL_MS;
	send_report(sync, report);
}

void crashsync_init(crashsync_t *sync, router_t *router, const relays_t *relays,
		    uint32_t host_id)
{
	*sync = (crashsync_t){
		.router = router, .relays = relays, .host_id = host_id};
	router->crash_observer = (crash_observer_t){on_crash, sync, host_id};
}

static void repeat_own(crashsync_t *sync)
{
	int64_t now_ms = current_ms(sync);

	for (size_t i = 0; i < CRASHSYNC_MAX_OWN && i < sync->own_count; i++) {
		crashsync_own_t *own = &sync->own[i];

		if (now_ms < own->repeat_ms ||
		    now_ms - own->report.at_ms > OWN_MS)
			continue;
		own->repeat_ms = now_ms + OWN_INTERVAL_MS;
		send_report(sync, &own->report);
	}
}

static void send_sound(const crashsync_t *sync)
{
	crashnews_t news = {.crash_count = 0};

	news.sound_count = crashboard_take_sound(
		sync->router->crashes, news.sound, CRASHNEWS_MAX_SOUND);
	distribute(sync, &news, CRASHNEWS_HOST);
}

static void send_digests(const crashsync_t *sync)
{
	const crashboard_t *board = sync->router->crashes;
	crashnews_t news = {.crash_count = 0};
	crash_report_t report;

	news.sound_count =
		crashboard_get_sound(board, news.sound, CRASHNEWS_MAX_SOUND);
	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		if (!crashboard_get(board, i, &report) ||
		    crashnews_add(&news, &report))
			continue;
		distribute(sync, &news, CRASHNEWS_DIGEST);
		news.crash_count = 0;
		news.sound_count = 0;
		crashnews_add(&news, &report);
	}
	distribute(sync, &news, CRASHNEWS_DIGEST);
}

void crashsync_on_round(crashsync_t *sync, int64_t round_ms)
{
	int64_t now_ms = current_ms(sync);

	crashboard_set_host(sync->router->crashes, sync->host_id,
			    SETTLE_MS + SETTLE_ROUNDS * round_ms);
	send_sound(sync);
	repeat_own(sync);
	if (now_ms < sync->digest_ms)
		return;
	sync->digest_ms = now_ms + DIGEST_INTERVAL_MS;
	if (relays_repeats_all(sync->relays))
		send_digests(sync);
}

/* Adds the message's entries to the board and keeps those that were news. */
static void merge(const crashsync_t *sync, crashnews_t *news)
{
	crashboard_t *board = sync->router->crashes;
	size_t crashes = 0;
	size_t sound = 0;

	for (size_t i = 0; i < news->crash_count; i++)
		if (crashboard_add(board, &news->crashes[i]))
			news->crashes[crashes++] = news->crashes[i];
	for (size_t i = 0; i < news->sound_count; i++)
		if (crashboard_add_sound(board, news->sound[i].input,
					 news->sound[i].began_ms))
			news->sound[sound++] = news->sound[i];
	news->crash_count = crashes;
	news->sound_count = sound;
}

/* Passes the news on from a relay. */
static void forward(const crashsync_t *sync, crashnews_t *news)
{
	relays_step_t received =
		news->kind == CRASHNEWS_RELAY  ? RELAYS_TO_OWN_REGION :
		news->kind == CRASHNEWS_REGION ? RELAYS_TO_OTHER_RELAYS :
						 RELAYS_TO_OWN_RELAY;
	outgoing_t outgoing = make_outgoing(sync, news, CRASHNEWS_HOST);

	relays_forward(sync->relays, &outgoing.base, received);
}

err_code_t crashsync_read(crashsync_t *sync, str_t message, err_t *err)
{
	crashnews_t news;

	if (crashnews_read(message, current_ms(sync), &news, err))
		return err->code;
	merge(sync, &news);
	if (!news.crash_count && !news.sound_count)
		return ERR_OK;
	forward(sync, &news);
	crashes_update(sync->router);
	return ERR_OK;
}
