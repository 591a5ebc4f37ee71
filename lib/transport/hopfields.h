#ifndef TRANSPORT_HOPFIELDS_H
#define TRANSPORT_HOPFIELDS_H

#include "transport/http1.h"

/*
 * hopfields - header fields that concern one connection only
 *
 * Marks the hop-by-hop fields of a complete head (RFC 9110, section 7.6.1),
 * including those that Connection lists, and the fields that frame the message.
 * Names are compared by a hash, so that the time grows little faster than the
 * head: a sender who makes two names collide loses a field of its own message.
 */
void hopfields_mark(http1_head_t *head);

#endif
