#include "unit.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/address.h"
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

static int listen_on(struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	*address =
		(struct sockaddr_in){.sin_family = AF_INET,
				     .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)address, len), 0);
	CU_ASSERT_EQUAL(listen(fd, 1), 0);
	getsockname(fd, (struct sockaddr *)address, &len);
	return fd;
}

/* Connects, and sends a request that waits for the connection. With `greeting`
 * the peer speaks first.
 *
 * RETURN VALUE: the peer's end of the connection. */
static int connect_to(int listen_fd, const struct sockaddr_in *address,
		      loop_t *loop, tcp_t *tcp, const char *greeting)
{
	char text[ADDRESS_BYTES];
	err_t err;
	int peer;

	address_format(address, text);
	CU_ASSERT_EQUAL(tcp_connect(tcp, loop, text, on_io, NULL, &err),
			ERR_OK);
	tcp_send(tcp, STR_LIT("request"));
	peer = accept(listen_fd, NULL, NULL);
	CU_ASSERT_TRUE(send(peer, greeting, strlen(greeting), 0) >= 0);
	CU_ASSERT_EQUAL(tcp_connect_result(tcp), 0);
	return peer;
}

/* Guards against writing a request to a peer that speaks first, and against
 * taking a fast answer for such bytes: the request was once answered as not run
 * although it had run. */
static void test_early_input(void)
{
	char buffer[16];
	struct sockaddr_in address;
	loop_t *loop = loop_create(mclock_system());
	int listen_fd = listen_on(&address);
	tcp_t tcp;
	int peer = connect_to(listen_fd, &address, loop, &tcp, "early");

	CU_ASSERT_TRUE(tcp.early_input);
	CU_ASSERT_EQUAL(tcp.written, 0);
	CU_ASSERT_TRUE(recv(peer, buffer, sizeof(buffer), MSG_DONTWAIT) < 0);
	tcp_close(&tcp);
	close(peer);
	peer = connect_to(listen_fd, &address, loop, &tcp, "");
	CU_ASSERT_EQUAL(recv(peer, buffer, sizeof(buffer), 0), 7);
	CU_ASSERT_EQUAL(send(peer, "answer", 6, 0), 6);
	CU_ASSERT_TRUE(tcp_has_input(&tcp));
	CU_ASSERT_FALSE(tcp.early_input);
	tcp_close(&tcp);
	close(peer);
	close(listen_fd);
	loop_free(loop);
}

/* Makes the peer send a part of an answer and reset the connection; with
 * `closes_first` it ends its sending side before that. */
static void send_and_reset(int peer, bool closes_first)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	CU_ASSERT_EQUAL(send(peer, "part", 4, 0), 4);
	if (closes_first)
		shutdown(peer, SHUT_WR);
	setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(peer);
}

/* Guards against a reset that reads as end of stream, by which the part of an
 * answer before it would be a whole one: after a write that has failed on the
 * reset, or when the peer closed its sending side first. */
static void test_reset_after_part(void)
{
	for (int closes_first = 0; closes_first < 2; closes_first++)
		for (int writes = 0; writes < 2; writes++) {
			char buffer[16];
			struct sockaddr_in address;
			loop_t *loop = loop_create(mclock_system());
			int listen_fd = listen_on(&address);
			size_t len = 0;
			tcp_t tcp;
			int peer =
				connect_to(listen_fd, &address, loop, &tcp, "");

			send_and_reset(peer, closes_first);
			if (writes)
				CU_ASSERT_FALSE(
					tcp_send(&tcp, STR_LIT("more")));
			CU_ASSERT_EQUAL(
				tcp_read(&tcp, buffer, sizeof(buffer), &len),
				TCP_READ_DATA);
			CU_ASSERT_EQUAL(len, 4);
			CU_ASSERT_EQUAL(
				tcp_read(&tcp, buffer, sizeof(buffer), &len),
				TCP_READ_BROKEN);
			tcp_close(&tcp);
			close(listen_fd);
			loop_free(loop);
		}
}

/* Guards against an answer that counts as one to the whole request although the
 * peer has not taken all of it. */
static void test_acknowledged(void)
{
	static char bytes[SEND_BYTES];
	struct sockaddr_in address;
	loop_t *loop = loop_create(mclock_system());
	int listen_fd = listen_on(&address);
	tcp_t tcp;
	int peer = connect_to(listen_fd, &address, loop, &tcp, "");

	CU_ASSERT_EQUAL(recv(peer, bytes, sizeof(bytes), 0), 7);
	CU_ASSERT_TRUE(tcp_is_acknowledged(&tcp));
	while (!tcp_unsent(&tcp))
		tcp_send(&tcp, (str_t){bytes, sizeof(bytes)});
	CU_ASSERT_FALSE(tcp_is_acknowledged(&tcp));
	/* Now the rest waits in the kernel alone. */
	tcp.out_sent = tcp.out.len;
	CU_ASSERT_FALSE(tcp_is_acknowledged(&tcp));
	tcp_close(&tcp);
	CU_ASSERT_FALSE(tcp_is_acknowledged(&tcp));
	close(peer);
	close(listen_fd);
	loop_free(loop);
}

int main(void)
{
	CU_TestInfo tests[] = {{"slow reader", test_slow_reader},
			       {"early input", test_early_input},
			       {"reset after a part", test_reset_after_part},
			       {"acknowledged output", test_acknowledged},
			       CU_TEST_INFO_NULL};

	return unit_run("tcp", tests);
}
