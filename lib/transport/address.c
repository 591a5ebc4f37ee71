#include "transport/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#define PORT_MAX 65535

err_code_t address_parse(const char *text, struct sockaddr_in *address,
			 err_t *err)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	*address = (struct sockaddr_in){.sin_family = AF_INET};
	if (!colon ||
	    !str_copy(ip, sizeof(ip), (str_t){text, (size_t)(colon - text)}) ||
	    inet_pton(AF_INET, ip, &address->sin_addr) != 1)
		goto invalid;
	if (colon[1] < '0' || colon[1] > '9')
		goto invalid;
	port = strtol(colon + 1, &end, 10);
	if (*end || port > PORT_MAX)
		goto invalid;
	address->sin_port = htons((uint16_t)port);
	return ERR_OK;
invalid:
	return err_set(err, ERR_INVALID, "parse address", text,
		       "expected IP:PORT");
}

void address_format(const struct sockaddr_in *address, char out[ADDRESS_BYTES])
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address->sin_addr, ip, sizeof(ip));
	snprintf(out, ADDRESS_BYTES, "%s:%u", ip, ntohs(address->sin_port));
}
