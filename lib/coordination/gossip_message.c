#include "coordination/gossip_internal.h"

#include <arpa/inet.h>

#include "base/msgcodec.h"

#define MESSAGE_FIELDS 12
#define MEMBER_FIELDS 5
#define MESSAGE_VERSION 4
/* A host counts as known for this long after it was last heard of. The time is
 * long enough for all hosts to count the same ones. */
#define KNOWN_HOST_MS 30000
/* A receiver gets more full entries of old hosts when it knows fewer hosts than
 * this one by more than one part in KNOWN_TOLERANCE_DIVISOR. */
#define KNOWN_TOLERANCE_DIVISOR 64
/* Largest encoded entry, with names of 63 bytes, and the space for the sample
 * that the sender's own entry and the tags leave in a message. */
#define MEMBER_BYTES 168
#define SAMPLE_MAX_BYTES                       \
	(GOSSIP_MESSAGE_BYTES - MEMBER_BYTES - \
	 GOSSIP_MAX_TAGS * GOSSIP_TAG_BYTES - 16)
/* Entries of older hosts are ignored, since these hosts no longer count. */
#define MAX_AGE_MS GOSSIP_HOST_COUNT_MS

static bool read_text(const msgpack_object *object, char *out, size_t size)
{
	return object->type == MSGPACK_OBJECT_STR &&
	       str_copy(out, size,
			(str_t){object->via.str.ptr, object->via.str.size});
}

static bool read_number(const msgpack_object *object, uint64_t *out)
{
	*out = object->via.u64;
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* Decodes [name, domain, ip, incarnation, age or revision]. */
static bool read_member(const msgpack_object *fields, member_t *member,
			uint64_t *number)
{
	memset(member, 0, sizeof(*member));
	return read_text(&fields[0], member->name, GOSSIP_NAME_BYTES) &&
	       read_text(&fields[1], member->domain, GOSSIP_NAME_BYTES) &&
	       read_text(&fields[2], member->ip, GOSSIP_IP_BYTES) &&
	       read_number(&fields[3], &member->incarnation) &&
	       read_number(&fields[4], number) && *number < INT64_MAX;
}

static void read_sample(gossip_t *gossip, const msgpack_object_array *sample,
			int64_t now_ms)
{
	for (uint32_t i = 0; i < sample->size && i < GOSSIP_SAMPLE_MAX_MEMBERS;
	     i++) {
		const msgpack_object *item = &sample->ptr[i];
		member_t member;
		uint64_t age_ms;

		if (item->type != MSGPACK_OBJECT_ARRAY ||
		    item->via.array.size != MEMBER_FIELDS ||
		    !read_member(item->via.array.ptr, &member, &age_ms) ||
		    age_ms > MAX_AGE_MS)
			continue;
		member.last_heard_ms = now_ms - (int64_t)age_ms;
		gossip_merge(gossip, &member, now_ms);
	}
}

static void read_tags(gossip_t *gossip, const msgpack_object_bin *tags,
		      int64_t now_ms)
{
	for (uint32_t offset = 0; offset + GOSSIP_TAG_BYTES <= tags->size;
	     offset += GOSSIP_TAG_BYTES) {
		uint32_t entry;
		int64_t last_heard_ms;

		memcpy(&entry, tags->ptr + offset, sizeof(entry));
		entry = ntohl(entry);
		last_heard_ms = now_ms - (int64_t)(entry >> GOSSIP_TAG_BITS) *
						 GOSSIP_TAG_AGE_MS;
		for (size_t i = 0; i < gossip->count; i++) {
			member_t *member = &gossip->members[i];

			if (member->tag == (entry & GOSSIP_TAG_MASK) &&
			    member->last_heard_ms < last_heard_ms)
				member->last_heard_ms = last_heard_ms;
		}
	}
}

static err_code_t read_message(gossip_t *gossip, const msgpack_object *root,
			       int64_t now_ms, const member_t **sender,
			       err_t *err)
{
	const msgpack_object *fields = root->via.array.ptr;
	member_t update;
	member_t *member;
	uint64_t version, revision, known_hosts, service, era;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size != MESSAGE_FIELDS ||
	    !read_number(&fields[0], &version) || version != MESSAGE_VERSION ||
	    !read_member(&fields[1], &update, &revision) ||
	    fields[6].type != MSGPACK_OBJECT_BOOLEAN ||
	    fields[7].type != MSGPACK_OBJECT_ARRAY ||
	    fields[8].type != MSGPACK_OBJECT_BIN ||
	    !read_number(&fields[9], &known_hosts) ||
	    known_hosts > GOSSIP_MAX_MEMBERS ||
	    !read_number(&fields[10], &service) ||
	    service > GOSSIP_SERVICE_FAILING ||
	    !read_number(&fields[11], &era) || era > INT64_MAX)
		return err_set(err, ERR_INVALID, "read-gossip", "-",
			       "malformed message");
	update.last_heard_ms = now_ms;
	member = gossip_merge(gossip, &update, now_ms);
	if (!member)
		return err_set(err, ERR_BAD_STATE, "read-gossip", update.name,
			       "from this host or an earlier incarnation");
	member->position = (position_t){(int64_t)era, (int64_t)revision};
	member->known_hosts = (unsigned)known_hosts;
	member->last_message_ms = now_ms;
	member->leaving = fields[6].via.boolean;
	member->service = (gossip_service_t)service;
	read_sample(gossip, &fields[7].via.array, now_ms);
	read_tags(gossip, &fields[8].via.bin, now_ms);
	/* Merging the sample may have reallocated the table. */
	*sender = gossip_find(gossip, update.name);
	return ERR_OK;
}

err_code_t gossip_read(gossip_t *gossip, str_t message, int64_t now_ms,
		       const member_t **sender, err_t *err)
{
	msgpack_unpacked unpacked;
	err_code_t code;

	*sender = NULL;
	if (msgcodec_unpack(message, &unpacked))
		code = read_message(gossip, &unpacked.data, now_ms, sender,
				    err);
	else
		code = err_set(err, ERR_INVALID, "read-gossip", "-",
			       "not msgpack");
	msgpack_unpacked_destroy(&unpacked);
	return code;
}

static void pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

static void pack_member(msgpack_packer *packer, const member_t *member,
			uint64_t number)
{
	pack_text(packer, member->name);
	pack_text(packer, member->domain);
	pack_text(packer, member->ip);
	msgpack_pack_uint64(packer, member->incarnation);
	msgpack_pack_uint64(packer, number);
}

/* Others may not know a new host yet, or not this incarnation of it. */
static bool is_new(const member_t *member, int64_t now_ms)
{
	return now_ms - member->first_heard_ms < GOSSIP_NEW_MEMBER_MS;
}

typedef enum sample_kind { SAMPLE_NEW, SAMPLE_OLD } sample_kind_t;

/* Appends full entries of live hosts, starting after the last sample. */
static size_t pack_sample(gossip_t *gossip, sample_kind_t kind, size_t max,
			  int64_t now_ms, buf_t *out)
{
	size_t *next =
		kind == SAMPLE_NEW ? &gossip->next_new : &gossip->next_old;
	msgpack_packer packer;
	size_t packed = 0;

	msgpack_packer_init(&packer, out, msgcodec_append);
	for (size_t i = 0; i < gossip->count && packed < max; i++) {
		const member_t *member =
			&gossip->members[(*next)++ % gossip->count];
		int64_t age_ms = now_ms - member->last_heard_ms;

		if (!gossip_is_live(gossip, member, now_ms) ||
		    is_new(member, now_ms) != (kind == SAMPLE_NEW))
			continue;
		if (out->len + MEMBER_BYTES > SAMPLE_MAX_BYTES)
			break;
		msgpack_pack_array(&packer, MEMBER_FIELDS);
		pack_member(&packer, member, age_ms > 0 ? (uint64_t)age_ms : 0);
		packed++;
	}
	return packed;
}

/* Appends tags of live hosts, starting after those of the last message. */
static void append_tags(gossip_t *gossip, int64_t now_ms, buf_t *out)
{
	size_t packed = 0;

	for (size_t i = 0; i < gossip->count && packed < GOSSIP_MAX_TAGS; i++) {
		const member_t *member =
			&gossip->members[gossip->next_tag++ % gossip->count];
		int64_t age_ms = now_ms - member->last_heard_ms;
		int64_t age_units =
			(age_ms + GOSSIP_TAG_AGE_MS - 1) / GOSSIP_TAG_AGE_MS;
		uint32_t entry;

		if (!gossip_is_live(gossip, member, now_ms) ||
		    age_units > GOSSIP_TAG_MAX_AGE)
			continue;
		entry = htonl((uint32_t)(age_units > 0 ? age_units : 0)
				      << GOSSIP_TAG_BITS |
			      member->tag);
		buf_append(out, &entry, sizeof(entry));
		packed++;
	}
}

static unsigned count_known_hosts(const gossip_t *gossip, int64_t now_ms)
{
	unsigned count = 0;

	for (size_t i = 0; i < gossip->count; i++)
		count += now_ms - gossip->members[i].last_heard_ms <
			 KNOWN_HOST_MS;
	return count;
}

static bool may_lack_members(const member_t *to, unsigned known_hosts,
			     int64_t now_ms)
{
	if (is_new(to, now_ms))
		return true;
	return now_ms - to->last_message_ms < GOSSIP_LIVE_MS &&
	       to->known_hosts + known_hosts / KNOWN_TOLERANCE_DIVISOR <
		       known_hosts;
}

bool gossip_needs_reply(const gossip_t *gossip, const member_t *sender,
			int64_t now_ms)
{
	return sender->known_hosts * 2 < count_known_hosts(gossip, now_ms);
}

/* Encoded entries and tags of other hosts. */
typedef struct others {
	buf_t sample;
	size_t count;
	buf_t tags;
} packed_members_t;

static void write_message(const gossip_t *gossip, const gossip_state_t *state,
			  const packed_members_t *others, unsigned known_hosts,
			  buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgcodec_append);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint64(&packer, MESSAGE_VERSION);
	pack_member(&packer, &gossip->self, (uint64_t)state->position.revision);
	if (state->leaving)
		msgpack_pack_true(&packer);
	else
		msgpack_pack_false(&packer);
	msgpack_pack_array(&packer, others->count);
	buf_append_str(out, buf_view(&others->sample));
	msgpack_pack_bin_with_body(&packer, others->tags.ptr, others->tags.len);
	msgpack_pack_uint32(&packer, known_hosts);
	msgpack_pack_uint32(&packer, state->service);
	msgpack_pack_int64(&packer, state->position.era);
}

void gossip_write_self(const gossip_t *gossip, const gossip_state_t *state,
		       int64_t now_ms, buf_t *out)
{
	packed_members_t others = {.count = 0};

	write_message(gossip, state, &others, count_known_hosts(gossip, now_ms),
		      out);
}

void gossip_write(gossip_t *gossip, const gossip_state_t *state,
		  const member_t *to, int64_t now_ms, buf_t *out)
{
	unsigned known_hosts = count_known_hosts(gossip, now_ms);
	packed_members_t others = {.count = 0};
	size_t max_old;

	others.count =
		pack_sample(gossip, SAMPLE_NEW, GOSSIP_SAMPLE_MAX_MEMBERS,
			    now_ms, &others.sample);
	max_old = !to || may_lack_members(to, known_hosts, now_ms) ?
			  GOSSIP_SAMPLE_MAX_MEMBERS - others.count :
			  GOSSIP_SAMPLE_OLD_MEMBERS;
	others.count += pack_sample(gossip, SAMPLE_OLD, max_old, now_ms,
				    &others.sample);
	append_tags(gossip, now_ms, &others.tags);
	write_message(gossip, state, &others, known_hosts, out);
	buf_release(&others.sample);
	buf_release(&others.tags);
}
