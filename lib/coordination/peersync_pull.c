#include "coordination/peersync_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/pullcodec.h"
#include "transport/frame.h"

#define READ_BYTES 8192
/* A request holds only a few numbers; records are in responses. */
#define MAX_REQUEST_BYTES 256

int64_t peersync_now_ms(const peersync_t *peersync)
{
	return mclock_now_ms(loop_clock(peersync->loop));
}

static void remove_served(const pull_t *pull)
{
	peersync_t *peersync = pull->peersync;
	size_t kept = 0;

	for (size_t i = 0; i < peersync->served_pull_count; i++)
		if (peersync->served_pulls[i] != pull)
			peersync->served_pulls[kept++] =
				peersync->served_pulls[i];
	peersync->served_pull_count = kept;
}

void peersync_end_pull(pull_t *pull)
{
	peersync_t *peersync = pull->peersync;

	loop_timer_cancel(peersync->loop, &pull->timer);
	tcp_close(&pull->tcp);
	buf_release(&pull->received);
	if (pull->outgoing)
		peersync->outgoing_pull = NULL;
	else
		remove_served(pull);
	free(pull);
}

/* Ends the oldest pull of a peer that has not sent its request.
 *
 * RETURN VALUE: false when all have. */
static bool end_silent_pull(const peersync_t *peersync)
{
	for (size_t i = 0; i < peersync->served_pull_count; i++) {
		if (peersync->served_pulls[i]->responded)
			continue;
		peersync_end_pull(peersync->served_pulls[i]);
		return true;
	}
	return false;
}

/* Ends a failed pull. The next one from this host goes to another peer. */
static void fail_pull(pull_t *pull)
{
	peersync_t *peersync = pull->peersync;

	if (pull->outgoing) {
		str_copy(peersync->backoff_ip, sizeof(peersync->backoff_ip),
			 (str_t){pull->peer, strcspn(pull->peer, ":")});
		peersync->backoff_start_ms = peersync_now_ms(peersync);
	}
	peersync_end_pull(pull);
}

static void on_pull_timeout(void *user)
{
	fail_pull(user);
}

void peersync_report_invalid(const char *peer, const char *step)
{
	metrics_add(METRIC_INVALID_INPUT, STR_LIT("peers"), 1);
	plog_write(PLOG_MESSAGE_INVALID, "peer=%s step=%s", peer, step);
}

static void on_response(pull_t *pull, str_t content)
{
	peersync_t *peersync = pull->peersync;
	pullcodec_applied_t applied;
	err_t err;

	if (pullcodec_apply_response(peersync->replica, content, &applied,
				     &err)) {
		peersync_report_invalid(pull->peer, err.step);
		return;
	}
	peersync->behind_since_ms = 0;
	peersync->allow_large_responses = false;
	if (applied.revision)
		peersync->observer.pulled(peersync->observer.user, pull->peer,
					  &applied);
}

static void on_request(pull_t *pull, str_t content)
{
	buf_t response = BUF_INIT;
	buf_t out = BUF_INIT;
	position_t after;
	err_t err;

	if (pullcodec_read_request(content, &after, &err)) {
		peersync_report_invalid(pull->peer, err.step);
		return;
	}
	pullcodec_write_response(pull->peersync->replica, after, &response);
	frame_append(&out, buf_view(&response));
	metrics_add(METRIC_CONTROL_BYTES_SENT, STR_LIT(""), out.len);
	tcp_send(&pull->tcp, buf_view(&out));
	pull->responded = true;
	buf_release(&response);
	buf_release(&out);
}

/* The records of a large response are read from the configuration service. */
static bool is_too_large(const pull_t *pull)
{
	const peersync_t *peersync = pull->peersync;

	return pull->outgoing && !peersync->allow_large_responses &&
	       peersync->observer.large_response &&
	       frame_length(buf_view(&pull->received)) >
		       PEERSYNC_LARGE_RESPONSE_BYTES;
}

/* Restarts the idle timeout after a transfer, within the total time limit. */
static void extend_pull(pull_t *pull)
{
	int64_t left_ms = pull->deadline_ms - peersync_now_ms(pull->peersync);

	loop_timer_set(pull->peersync->loop, &pull->timer,
		       left_ms < PEERSYNC_PULL_TIMEOUT_MS ?
			       left_ms :
			       PEERSYNC_PULL_TIMEOUT_MS,
		       on_pull_timeout, pull);
}

/* RETURN VALUE: false when the pull has ended. */
static bool on_frame(pull_t *pull)
{
	str_t content;

	if (frame_peek(buf_view(&pull->received), &content)) {
		peersync_report_invalid(pull->peer, "frame");
		peersync_end_pull(pull);
		return false;
	}
	if (!pull->outgoing && pull->received.len > MAX_REQUEST_BYTES) {
		peersync_report_invalid(pull->peer, "question");
		peersync_end_pull(pull);
		return false;
	}
	if (is_too_large(pull)) {
		peersync_t *peersync = pull->peersync;

		peersync_end_pull(pull);
		peersync->observer.large_response(peersync->observer.user);
		return false;
	}
	if (!content.ptr)
		return true;
	if (pull->outgoing) {
		on_response(pull, content);
		peersync_end_pull(pull);
		return false;
	}
	if (!pull->responded)
		on_request(pull, content);
	return true;
}

static void send_request(pull_t *pull)
{
	buf_t request = BUF_INIT;
	buf_t out = BUF_INIT;

	pullcodec_write_request(replica_position(pull->peersync->replica),
				&request);
	frame_append(&out, buf_view(&request));
	tcp_send(&pull->tcp, buf_view(&out));
	buf_release(&request);
	buf_release(&out);
}

static void on_pull_io(void *user, uint32_t events)
{
	pull_t *pull = user;
	char buffer[READ_BYTES];
	size_t len;

	if (pull->tcp.connecting && tcp_connect_result(&pull->tcp)) {
		fail_pull(pull);
		return;
	}
	if ((events & EPOLLOUT) && !tcp_flush(&pull->tcp)) {
		fail_pull(pull);
		return;
	}
	extend_pull(pull);
	if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		return;
	switch (tcp_read(&pull->tcp, buffer, sizeof(buffer), &len)) {
	case TCP_READ_DATA:
		metrics_add(METRIC_CONTROL_BYTES_RECEIVED, STR_LIT(""), len);
		buf_append(&pull->received, buffer, len);
		on_frame(pull);
		return;
	case TCP_READ_AGAIN:
		return;
	case TCP_READ_END:
	case TCP_READ_BROKEN:
	case TCP_READ_TIMED_OUT:
		fail_pull(pull);
		return;
	}
}

static pull_t *create_pull(peersync_t *peersync, bool outgoing)
{
	pull_t *pull = calloc(1, sizeof(*pull));

	if (!pull)
		abort();
	pull->peersync = peersync;
	pull->outgoing = outgoing;
	pull->deadline_ms = peersync_now_ms(peersync) + PEERSYNC_PULL_MAX_MS;
	loop_timer_set(peersync->loop, &pull->timer, PEERSYNC_PULL_TIMEOUT_MS,
		       on_pull_timeout, pull);
	return pull;
}

void peersync_start_pull(peersync_t *peersync, const char *ip)
{
	pull_t *pull = create_pull(peersync, true);
	err_t err;

	peersync->outgoing_pull = pull;
	snprintf(pull->peer, sizeof(pull->peer), "%s:%u", ip,
		 peersync->pull_port);
	if (tcp_connect(&pull->tcp, peersync->loop, pull->peer, on_pull_io,
			pull, &err)) {
		peersync_end_pull(pull);
		return;
	}
	send_request(pull);
}

void peersync_on_accept(void *user, uint32_t events)
{
	peersync_t *peersync = user;
	int fd;

	(void)events;
	while ((fd = tcp_accept(peersync->listen_fd)) >= 0) {
		pull_t *pull;

		if (peersync->served_pull_count == PEERSYNC_MAX_SERVED_PULLS &&
		    !end_silent_pull(peersync)) {
			close(fd);
			continue;
		}
		pull = create_pull(peersync, false);
		peersync->served_pulls[peersync->served_pull_count++] = pull;
		tcp_open(&pull->tcp, peersync->loop, fd, on_pull_io, pull);
		tcp_peer(&pull->tcp, pull->peer);
	}
}
