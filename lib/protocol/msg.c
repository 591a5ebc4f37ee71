#include "protocol/msg.h"

#include <msgpack.h>
#include <stdlib.h>
#include <sys/random.h>

/* Position in the array being decoded; the first fault sticks. */
typedef struct reader {
	const msgpack_object *items;
	size_t count;
	size_t next;
	bool failed;
} reader_t;

static int write_buf(void *user, const char *data, size_t len)
{
	buf_append(user, data, len);
	return 0;
}

static void put_uint(msgpack_packer *pk, uint64_t value)
{
	msgpack_pack_uint64(pk, value);
}

static void put_str(msgpack_packer *pk, str_t s)
{
	msgpack_pack_bin(pk, s.len);
	if (s.len)
		msgpack_pack_bin_body(pk, s.ptr, s.len);
}

static void put_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void put_id(msgpack_packer *pk, const msg_id_t *id)
{
	put_str(pk, (str_t){(const char *)id->bytes, MSG_ID_BYTES});
}

static void begin(msgpack_packer *pk, msg_kind_t kind, size_t fields)
{
	msgpack_pack_array(pk, fields + 1);
	put_uint(pk, kind);
}

static const msgpack_object *get(reader_t *in, msgpack_object_type type)
{
	const msgpack_object *item;

	if (in->failed || in->next == in->count) {
		in->failed = true;
		return NULL;
	}
	item = &in->items[in->next++];
	if (item->type != type) {
		in->failed = true;
		return NULL;
	}
	return item;
}

static uint64_t get_uint(reader_t *in)
{
	const msgpack_object *item = get(in, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return item ? item->via.u64 : 0;
}

static unsigned get_unsigned(reader_t *in)
{
	uint64_t value = get_uint(in);

	if (value > UINT32_MAX)
		in->failed = true;
	return (unsigned)value;
}

/* A time or duration in ms that the receiver may add to its clock. */
static uint64_t get_ms(reader_t *in)
{
	uint64_t value = get_uint(in);

	if (value > INT64_MAX / 4)
		in->failed = true;
	return value;
}

static str_t get_str(reader_t *in)
{
	const msgpack_object *item = get(in, MSGPACK_OBJECT_BIN);

	return item ? (str_t){item->via.bin.ptr, item->via.bin.size} :
		      (str_t){"", 0};
}

static bool get_bool(reader_t *in)
{
	const msgpack_object *item = get(in, MSGPACK_OBJECT_BOOLEAN);

	return item && item->via.boolean;
}

static msg_id_t get_id(reader_t *in)
{
	str_t raw = get_str(in);
	msg_id_t id = {{0}};

	if (raw.len == MSG_ID_BYTES)
		memcpy(id.bytes, raw.ptr, MSG_ID_BYTES);
	else
		in->failed = true;
	return id;
}

static reader_t get_array(reader_t *in, size_t max)
{
	const msgpack_object *item = get(in, MSGPACK_OBJECT_ARRAY);
	reader_t inner = {NULL, 0, 0, true};

	if (!item)
		return inner;
	if (item->via.array.size > max) {
		in->failed = true;
		return inner;
	}
	return (reader_t){item->via.array.ptr, item->via.array.size, 0, false};
}

/* Ends an inner array: faults and left-over fields fail the message. */
static void end_array(reader_t *in, const reader_t *inner)
{
	if (inner->failed || inner->next != inner->count)
		in->failed = true;
}

static void encode_hello(msgpack_packer *pk, const msg_hello_t *m)
{
	begin(pk, MSG_HELLO, 6);
	put_uint(pk, m->protocol);
	put_uint(pk, m->role);
	put_str(pk, m->host);
	put_str(pk, m->domain);
	put_str(pk, m->address);
	put_id(pk, &m->incarnation);
}

static void decode_hello(reader_t *in, msg_hello_t *m)
{
	m->protocol = get_unsigned(in);
	m->role = (msg_role_t)get_unsigned(in);
	m->host = get_str(in);
	m->domain = get_str(in);
	m->address = get_str(in);
	m->incarnation = get_id(in);
	if (m->role != MSG_ROLE_ENTRY && m->role != MSG_ROLE_DISPATCH)
		in->failed = true;
}

static void encode_ping(msgpack_packer *pk, const msg_ping_t *m)
{
	begin(pk, MSG_PING, 3);
	put_uint(pk, m->sequence);
	put_uint(pk, m->sheet_version);
	put_str(pk, m->sheet_digest);
}

static void decode_ping(reader_t *in, msg_ping_t *m)
{
	m->sequence = get_uint(in);
	m->sheet_version = get_uint(in);
	m->sheet_digest = get_str(in);
}

static void encode_pool(msgpack_packer *pk, const msg_pool_t *pool)
{
	msgpack_pack_array(pk, 6);
	put_str(pk, pool->name);
	put_uint(pk, pool->warm);
	put_uint(pk, pool->window);
	put_uint(pk, pool->in_flight);
	put_uint(pk, pool->queued);
	put_uint(pk, pool->wait_ms);
}

static void decode_pool(reader_t *in, msg_pool_t *pool)
{
	reader_t inner = get_array(in, 6);

	pool->name = get_str(&inner);
	pool->warm = get_unsigned(&inner);
	pool->window = get_unsigned(&inner);
	pool->in_flight = get_unsigned(&inner);
	pool->queued = get_unsigned(&inner);
	pool->wait_ms = get_ms(&inner);
	end_array(in, &inner);
}

static void encode_member(msgpack_packer *pk, const msg_member_t *member)
{
	msgpack_pack_array(pk, 3);
	put_str(pk, member->host);
	put_str(pk, member->domain);
	put_str(pk, member->address);
}

static void decode_member(reader_t *in, msg_member_t *member)
{
	reader_t inner = get_array(in, 3);

	member->host = get_str(&inner);
	member->domain = get_str(&inner);
	member->address = get_str(&inner);
	end_array(in, &inner);
}

static void encode_status(msgpack_packer *pk, const msg_status_t *m)
{
	begin(pk, MSG_STATUS, 11);
	put_uint(pk, m->sequence);
	put_str(pk, m->host);
	put_str(pk, m->domain);
	put_str(pk, m->address);
	put_id(pk, &m->incarnation);
	put_bool(pk, m->leaving);
	put_uint(pk, m->sheet_version);
	put_str(pk, m->sheet_digest);
	put_uint(pk, (uint64_t)m->wall_ms);
	msgpack_pack_array(pk, m->pool_count);
	for (size_t i = 0; i < m->pool_count; i++)
		encode_pool(pk, &m->pools[i]);
	msgpack_pack_array(pk, m->member_count);
	for (size_t i = 0; i < m->member_count; i++)
		encode_member(pk, &m->members[i]);
}

static void decode_status(reader_t *in, msg_status_t *m)
{
	reader_t inner;

	m->sequence = get_uint(in);
	m->host = get_str(in);
	m->domain = get_str(in);
	m->address = get_str(in);
	m->incarnation = get_id(in);
	m->leaving = get_bool(in);
	m->sheet_version = get_uint(in);
	m->sheet_digest = get_str(in);
	m->wall_ms = (int64_t)get_ms(in);
	inner = get_array(in, MSG_MAX_POOLS);
	m->pool_count = inner.count;
	for (size_t i = 0; i < m->pool_count; i++)
		decode_pool(&inner, &m->pools[i]);
	end_array(in, &inner);
	inner = get_array(in, MSG_MAX_MEMBERS);
	m->member_count = inner.count;
	for (size_t i = 0; i < m->member_count; i++)
		decode_member(&inner, &m->members[i]);
	end_array(in, &inner);
}

static void encode_unchanged(msgpack_packer *pk, const msg_unchanged_t *m)
{
	begin(pk, MSG_UNCHANGED, 1);
	put_uint(pk, m->sequence);
}

static void decode_unchanged(reader_t *in, msg_unchanged_t *m)
{
	m->sequence = get_uint(in);
}

static void encode_submit(msgpack_packer *pk, const msg_submit_t *m)
{
	begin(pk, MSG_SUBMIT, 17);
	put_id(pk, &m->id);
	put_uint(pk, m->kind);
	put_str(pk, m->pool);
	put_str(pk, m->class_name);
	put_str(pk, m->customer);
	put_uint(pk, m->customer_weight);
	put_str(pk, m->call);
	put_str(pk, m->ticket);
	put_uint(pk, m->timeout_ms);
	put_uint(pk, m->first_token_ms);
	put_uint(pk, m->cost_tokens);
	put_uint(pk, m->affinity);
	put_str(pk, m->traceparent);
	put_str(pk, m->resume_endpoint);
	put_uint(pk, m->resume_offset);
	put_bool(pk, m->stream);
	put_str(pk, m->body);
}

static void decode_submit(reader_t *in, msg_submit_t *m)
{
	m->id = get_id(in);
	m->kind = (msg_submit_kind_t)get_unsigned(in);
	m->pool = get_str(in);
	m->class_name = get_str(in);
	m->customer = get_str(in);
	m->customer_weight = get_unsigned(in);
	m->call = get_str(in);
	m->ticket = get_str(in);
	m->timeout_ms = get_ms(in);
	m->first_token_ms = get_ms(in);
	m->cost_tokens = get_uint(in);
	m->affinity = get_uint(in);
	m->traceparent = get_str(in);
	m->resume_endpoint = get_str(in);
	m->resume_offset = get_uint(in);
	m->stream = get_bool(in);
	m->body = get_str(in);
	if (m->kind != MSG_MODEL && m->kind != MSG_CALL)
		in->failed = true;
}

static void encode_start(msgpack_packer *pk, const msg_start_t *m)
{
	begin(pk, MSG_START, 4);
	put_id(pk, &m->id);
	put_str(pk, m->endpoint);
	put_uint(pk, m->http_status);
	put_str(pk, m->content_type);
}

static void decode_start(reader_t *in, msg_start_t *m)
{
	m->id = get_id(in);
	m->endpoint = get_str(in);
	m->http_status = get_unsigned(in);
	m->content_type = get_str(in);
}

static void encode_chunk(msgpack_packer *pk, const msg_chunk_t *m)
{
	begin(pk, MSG_CHUNK, 3);
	put_id(pk, &m->id);
	put_uint(pk, m->offset);
	put_str(pk, m->bytes);
}

static void decode_chunk(reader_t *in, msg_chunk_t *m)
{
	m->id = get_id(in);
	m->offset = get_uint(in);
	m->bytes = get_str(in);
}

static void encode_end(msgpack_packer *pk, const msg_end_t *m)
{
	begin(pk, MSG_END, 8);
	put_id(pk, &m->id);
	put_uint(pk, m->outcome);
	put_str(pk, m->step);
	put_str(pk, m->peer);
	put_uint(pk, m->http_status);
	put_str(pk, m->message);
	put_uint(pk, m->retry_after_ms);
	put_bool(pk, m->retry_elsewhere);
}

static void decode_end(reader_t *in, msg_end_t *m)
{
	m->id = get_id(in);
	m->outcome = (msg_outcome_t)get_unsigned(in);
	m->step = get_str(in);
	m->peer = get_str(in);
	m->http_status = get_unsigned(in);
	m->message = get_str(in);
	m->retry_after_ms = get_ms(in);
	m->retry_elsewhere = get_bool(in);
	if (m->outcome < MSG_NOT_RUN || m->outcome > MSG_UNKNOWN)
		in->failed = true;
}

static void encode_cancel(msgpack_packer *pk, const msg_cancel_t *m)
{
	begin(pk, MSG_CANCEL, 1);
	put_id(pk, &m->id);
}

static void decode_cancel(reader_t *in, msg_cancel_t *m)
{
	m->id = get_id(in);
}

static void encode_ticket_get(msgpack_packer *pk, const msg_ticket_get_t *m)
{
	begin(pk, MSG_TICKET_GET, 4);
	put_id(pk, &m->id);
	put_str(pk, m->customer);
	put_str(pk, m->service);
	put_str(pk, m->call);
}

static void decode_ticket_get(reader_t *in, msg_ticket_get_t *m)
{
	m->id = get_id(in);
	m->customer = get_str(in);
	m->service = get_str(in);
	m->call = get_str(in);
}

static void encode_ticket(msgpack_packer *pk, const msg_ticket_t *m)
{
	begin(pk, MSG_TICKET, 2);
	put_id(pk, &m->id);
	put_str(pk, m->ticket);
}

static void decode_ticket(reader_t *in, msg_ticket_t *m)
{
	m->id = get_id(in);
	m->ticket = get_str(in);
}

static void encode_node_get(msgpack_packer *pk, const msg_node_get_t *m)
{
	begin(pk, MSG_NODE_GET, 1);
	put_str(pk, m->digest);
}

static void decode_node_get(reader_t *in, msg_node_get_t *m)
{
	m->digest = get_str(in);
}

static void encode_node(msgpack_packer *pk, const msg_node_t *m)
{
	begin(pk, MSG_NODE, 2);
	put_str(pk, m->digest);
	put_str(pk, m->bytes);
}

static void decode_node(reader_t *in, msg_node_t *m)
{
	m->digest = get_str(in);
	m->bytes = get_str(in);
}

void msg_encode(const msg_t *msg, buf_t *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, write_buf);
	switch (msg->kind) {
#define ENCODE(kind, name)                        \
	case kind:                                \
		encode_##name(&pk, &msg->u.name); \
		break
		ENCODE(MSG_HELLO, hello);
		ENCODE(MSG_PING, ping);
		ENCODE(MSG_STATUS, status);
		ENCODE(MSG_SUBMIT, submit);
		ENCODE(MSG_START, start);
		ENCODE(MSG_CHUNK, chunk);
		ENCODE(MSG_END, end);
		ENCODE(MSG_CANCEL, cancel);
		ENCODE(MSG_TICKET_GET, ticket_get);
		ENCODE(MSG_TICKET, ticket);
		ENCODE(MSG_NODE_GET, node_get);
		ENCODE(MSG_NODE, node);
		ENCODE(MSG_UNCHANGED, unchanged);
#undef ENCODE
	}
}

static bool decode_fields(reader_t *in, msg_t *msg)
{
	switch (msg->kind) {
#define DECODE(kind, name)                       \
	case kind:                               \
		decode_##name(in, &msg->u.name); \
		return true
		DECODE(MSG_HELLO, hello);
		DECODE(MSG_PING, ping);
		DECODE(MSG_STATUS, status);
		DECODE(MSG_SUBMIT, submit);
		DECODE(MSG_START, start);
		DECODE(MSG_CHUNK, chunk);
		DECODE(MSG_END, end);
		DECODE(MSG_CANCEL, cancel);
		DECODE(MSG_TICKET_GET, ticket_get);
		DECODE(MSG_TICKET, ticket);
		DECODE(MSG_NODE_GET, node_get);
		DECODE(MSG_NODE, node);
		DECODE(MSG_UNCHANGED, unchanged);
#undef DECODE
	}
	return false;
}

static err_code_t decode_array(const msgpack_object *root, msg_t *msg,
			       err_t *err)
{
	reader_t in;

	if (root->type != MSGPACK_OBJECT_ARRAY)
		return err_set(err, ERR_INVALID, "decode message", "",
			       "not an array");
	in = (reader_t){root->via.array.ptr, root->via.array.size, 0, false};
	msg->kind = (msg_kind_t)get_unsigned(&in);
	if (in.failed || !decode_fields(&in, msg))
		return err_set(err, ERR_INVALID, "decode message", "",
			       "unknown kind %d", (int)msg->kind);
	/* A HELLO of a later protocol may have more fields. */
	if (msg->kind == MSG_HELLO && in.count > 1 &&
	    msg->u.hello.protocol != MSG_PROTOCOL)
		return err_set(err, ERR_VERSION, "decode message", "",
			       "protocol %u, expected %d",
			       msg->u.hello.protocol, MSG_PROTOCOL);
	if (in.failed || in.next != in.count)
		return err_set(err, ERR_INVALID, "decode message", "",
			       "malformed fields of kind %d", (int)msg->kind);
	return ERR_OK;
}

err_code_t msg_decode(str_t frame, msg_t *msg, err_t *err)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return state;
	size_t offset = 0;
	err_code_t code;

	msgpack_unpacked_init(&unpacked);
	state = msgpack_unpack_next(&unpacked, frame.ptr, frame.len, &offset);
	if (state != MSGPACK_UNPACK_SUCCESS || offset != frame.len)
		code = err_set(err, ERR_INVALID, "decode message", "",
			       "malformed msgpack");
	else
		code = decode_array(&unpacked.data, msg, err);
	msgpack_unpacked_destroy(&unpacked);
	return code;
}

const char *msg_outcome_name(msg_outcome_t outcome)
{
	static const char *const names[] = {"", "not-run", "completed",
					    "failed", "unknown"};

	return names[outcome];
}

msg_id_t msg_id_random(void)
{
	msg_id_t id;

	if (getrandom(id.bytes, sizeof(id.bytes), 0) != sizeof(id.bytes))
		abort();
	return id;
}

bool msg_id_equals(const msg_id_t *a, const msg_id_t *b)
{
	return !memcmp(a->bytes, b->bytes, MSG_ID_BYTES);
}

void msg_id_to_hex(const msg_id_t *id, char out[2 * MSG_ID_BYTES + 1])
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < MSG_ID_BYTES; i++) {
		out[2 * i] = digits[id->bytes[i] >> 4];
		out[2 * i + 1] = digits[id->bytes[i] & 15];
	}
	out[2 * MSG_ID_BYTES] = '\0';
}
