#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

bool standin_parse_long(const char *text, long *value)
{
	char *end;

	errno = 0;
	*value = strtol(text, &end, 10);
	return *text && !*end && !errno;
}

bool standin_parse_address(const char *text, struct sockaddr_in *sa)
{
	const char *colon = strrchr(text, ':');
	char ip[STANDIN_ADDRESS_MAX];
	long port;

	memset(sa, 0, sizeof(*sa));
	if (!colon || !standin_parse_long(colon + 1, &port) || port < 0 ||
	    port > 65535 ||
	    !str_copy(ip, sizeof(ip), (str_t){text, (size_t)(colon - text)}))
		return false;
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

void standin_format_address(char *text, const struct sockaddr_in *sa)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &sa->sin_addr, ip, sizeof(ip));
	snprintf(text, STANDIN_ADDRESS_MAX, "%s:%d", ip, ntohs(sa->sin_port));
}

/* Finds the next descriptor above `fd` on the local port; -1 at the end. */
static int next_socket(int fd, int local_port, struct sockaddr_in *peer)
{
	struct sockaddr_in local = {0};
	socklen_t len;

	for (fd++; fd < standin_threads + STANDIN_OTHER_FDS; fd++) {
		len = sizeof(local);
		if (getsockname(fd, (struct sockaddr *)&local, &len) ||
		    local.sin_family != AF_INET ||
		    ntohs(local.sin_port) != local_port)
			continue;
		len = sizeof(*peer);
		if (!getpeername(fd, (struct sockaddr *)peer, &len))
			return fd;
	}
	return -1;
}

int standin_get_socket(const struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in peer;
	int fd = 2;

	while ((fd = next_socket(fd, info->server_port, &peer)) >= 0)
		if (ntohs(peer.sin_port) == info->remote_port &&
		    inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip)) &&
		    !strcmp(ip, info->remote_addr))
			break;
	return fd;
}

bool standin_peer_closed(int fd)
{
	char byte;
	ssize_t got;

	if (fd < 0)
		return true;
	got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return !got || (got < 0 && errno != EAGAIN && errno != EINTR);
}

void standin_reset_socket(int fd)
{
	struct linger abort_at_close = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_at_close,
		   sizeof(abort_at_close));
	shutdown(fd, SHUT_RDWR);
}

void standin_reset(struct mg_connection *conn)
{
	int fd = standin_get_socket(conn);

	mg_disable_connection_keep_alive(conn);
	if (fd >= 0)
		standin_reset_socket(fd);
}

void standin_reset_all(void)
{
	struct sockaddr_in sa, peer;
	int fd = 2;

	if (!standin_parse_address(standin_address, &sa))
		return;
	while ((fd = next_socket(fd, ntohs(sa.sin_port), &peer)) >= 0)
		standin_reset_socket(fd);
}
