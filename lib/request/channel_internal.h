#ifndef REQUEST_CHANNEL_INTERNAL_H
#define REQUEST_CHANNEL_INTERNAL_H

#include "request/channel.h"

/*
 * channel_internal - functions shared by the modules of channel
 *
 * channel.c sends requests and reads responses; channel_idle.c keeps the idle
 * connections of each endpoint.
 */

/* Closes the connection, which must have no request any more. */
void channel_destroy(channel_t *channel);

/* Adds a connection without a request to the idle ones of its endpoint. */
void channel_keep_idle(channel_t *channel);
void channel_unlink_idle(channel_t *channel);

/*
 * Takes the idle connection that was used last, if that was at most
 * `max_idle_ms` ago.
 *
 * RETURN VALUE: NULL when there is none.
 */
channel_t *channel_take_idle(endpoint_t *endpoint, int64_t max_idle_ms,
			     int64_t now_ms);

#endif
