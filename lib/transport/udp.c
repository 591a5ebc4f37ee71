#include "transport/udp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static bool make_address(const char *ip, unsigned port, struct sockaddr_in *sin)
{
	*sin = (struct sockaddr_in){.sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port)};
	return inet_pton(AF_INET, ip, &sin->sin_addr) == 1;
}

int udp_open(const char *ip, unsigned port, err_t *err)
{
	struct sockaddr_in sin;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 && make_address(ip, port, &sin) &&
	    !bind(fd, (struct sockaddr *)&sin, sizeof(sin)))
		return fd;
	err_set(err, ERR_IO, "open-udp", ip, "port %u: %s", port,
		strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

bool udp_send(int fd, const char *ip, unsigned port, str_t data)
{
	struct sockaddr_in sin;

	return make_address(ip, port, &sin) &&
	       sendto(fd, data.ptr, data.len, MSG_DONTWAIT,
		      (struct sockaddr *)&sin, sizeof(sin)) >= 0;
}

size_t udp_receive(int fd, char *data, size_t size)
{
	ssize_t len = recv(fd, data, size, MSG_DONTWAIT);

	return len > 0 ? (size_t)len : 0;
}
