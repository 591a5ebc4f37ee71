#ifndef TRANSPORT_UDP_H
#define TRANSPORT_UDP_H

#include <stdbool.h>

#include "base/err.h"

/*
 * udp - non-blocking datagram sockets
 */

/* RETURN VALUE: a socket bound to the address, or -1 with `err` set. */
int udp_open(const char *ip, unsigned port, err_t *err);

/* RETURN VALUE: false when the datagram could not be sent. */
bool udp_send(int fd, const char *ip, unsigned port, str_t data);

/* RETURN VALUE: the length of the next datagram; 0 when there is none. */
size_t udp_receive(int fd, char *data, size_t size);

#endif
