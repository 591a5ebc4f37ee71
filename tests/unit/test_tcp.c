#include "unit.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/tcp.h"

#define SEND_BYTES 65536
#define ROUNDS 400
#define MAX_UNSENT_BYTES 131072

static void on_io(void *user, uint32_t events)
{
	(void)user;
	(void)events;
}

/* Pattern: a fast endpoint and a caller who reads slowly but steadily, so that
 * the output is never empty. Guards against a buffer that keeps what the caller
 * has taken long ago: 44 MB were seen for a body without end. */
static void test_slow_reader(void)
{
	static char piece[SEND_BYTES];
	mclock_manual_t clock_now;
	loop_t *loop;
	int ends[2];
	tcp_t tcp;
	size_t most = 0;

	mclock_manual_init(&clock_now, 1000);
	loop = loop_create(&clock_now.base);
	CU_ASSERT_EQUAL(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
	tcp_open(&tcp, loop, ends[0], on_io, NULL);
	/* Fill the socket, so that the rest waits in the buffer. */
	while (!tcp_unsent(&tcp))
		tcp_send(&tcp, (str_t){piece, sizeof(piece)});
	for (int i = 0; i < ROUNDS; i++) {
		while (tcp_unsent(&tcp) < MAX_UNSENT_BYTES)
			tcp_send(&tcp, (str_t){piece, sizeof(piece)});
		if (read(ends[1], piece, sizeof(piece)) > 0)
			tcp_flush(&tcp);
		CU_ASSERT_TRUE(tcp_unsent(&tcp) > 0);
		if (tcp.out.cap > most)
			most = tcp.out.cap;
	}
	CU_ASSERT_TRUE(most <= 4 * MAX_UNSENT_BYTES);
	tcp_close(&tcp);
	close(ends[1]);
	loop_free(loop);
}

int main(void)
{
	CU_TestInfo tests[] = {{"slow reader", test_slow_reader},
			       CU_TEST_INFO_NULL};

	return unit_run("tcp", tests);
}
