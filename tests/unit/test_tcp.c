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

/* Scenario: a fast endpoint and a caller who reads slowly but steadily, so that
 * the output buffer is never empty. Guards against a buffer that keeps bytes
 * which the caller has already read: it grew to 44 MB for an endless body. */
static void test_slow_reader(void)
{
	static char bytes[SEND_BYTES];
	mclock_manual_t manual_clock;
	loop_t *loop;
	int sockets[2];
	tcp_t tcp;
	size_t max_capacity = 0;

	mclock_manual_init(&manual_clock, 1000);
	loop = loop_create(&manual_clock.base);
	CU_ASSERT_EQUAL(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets),
		0);
	tcp_open(&tcp, loop, sockets[0], on_io, NULL);
	/* Fill the socket's send buffer, so that tcp_t has unsent bytes. */
	while (!tcp_unsent(&tcp))
		tcp_send(&tcp, (str_t){bytes, sizeof(bytes)});
	for (int i = 0; i < ROUNDS; i++) {
		while (tcp_unsent(&tcp) < MAX_UNSENT_BYTES)
			tcp_send(&tcp, (str_t){bytes, sizeof(bytes)});
		if (read(sockets[1], bytes, sizeof(bytes)) > 0)
			tcp_flush(&tcp);
		CU_ASSERT_TRUE(tcp_unsent(&tcp) > 0);
		if (tcp.out.cap > max_capacity)
			max_capacity = tcp.out.cap;
	}
	CU_ASSERT_TRUE(max_capacity <= 4 * MAX_UNSENT_BYTES);
	tcp_close(&tcp);
	close(sockets[1]);
	loop_free(loop);
}

int main(void)
{
	CU_TestInfo tests[] = {{"slow reader", test_slow_reader},
			       CU_TEST_INFO_NULL};

	return unit_run("tcp", tests);
}
