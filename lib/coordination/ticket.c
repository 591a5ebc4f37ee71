#include "coordination/ticket.h"

#include <assert.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdlib.h>

#define KEY_BYTES 32
#define SUBJECT_BYTES 16
#define NAME_BYTES 64 /* of the host and of the address */
#define TEXT_PREFIX "pt1"
#define TEXT_PARTS 7 /* prefix/host/address/incarnation/serial/subject/mac */
#define RECORD_BUCKETS 32768
#define BITS_PER_BYTE 8

typedef enum record_state {
	RECORD_UNSPENT,
	RECORD_RUNNING,
	RECORD_DONE
} record_state_t;

typedef struct record {
	uint64_t serial;
	record_state_t state;
	int64_t since_ms; /* issued, or finished for RECORD_DONE */
	uint8_t body_digest[SHA256_DIGEST_LENGTH];
	char *memory; /* what the views of `result` point into */
	size_t memory_len;
	ticket_result_t result;
	struct record *chain;	    /* of the bucket */
	struct record *prev, *next; /* list of unspent or done, oldest first */
} record_t;

typedef struct record_list {
	record_t *first, *last;
	size_t count;
} record_list_t;

struct ticket_table {
	const mclock_t *clock;
	char host[NAME_BYTES];
	char address[NAME_BYTES];
	msg_id_t incarnation;
	uint8_t key[KEY_BYTES];
	uint64_t next_serial;
	record_list_t unspent;
	record_list_t done;
	size_t running;
	size_t result_bytes;
	record_t *buckets[RECORD_BUCKETS];
	/* Bit per serial of the newest `remembered`: it was spent. */
	uint64_t remembered;
	uint8_t *spent;
};

/* Checked parts of a text. */
typedef struct ticket_parts {
	str_t part[TEXT_PARTS];
	msg_id_t incarnation;
	uint64_t serial;
	uint8_t subject[SUBJECT_BYTES];
	uint8_t mac[SHA256_DIGEST_LENGTH];
	str_t signed_text; /* all before the mac */
} ticket_parts_t;

static void append_hex(buf_t *text, const uint8_t *bytes, size_t len)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < len; i++) {
		buf_append(text, &digits[bytes[i] >> 4], 1);
		buf_append(text, &digits[bytes[i] & 15], 1);
	}
}

/* Accepts lower case only, so that a ticket has one text form. */
static bool read_hex(str_t hex, uint8_t *out, size_t len)
{
	if (hex.len != 2 * len)
		return false;
	for (size_t i = 0; i < hex.len; i++) {
		char c = hex.ptr[i];
		unsigned digit;

		if (c >= '0' && c <= '9')
			digit = (unsigned)(c - '0');
		else if (c >= 'a' && c <= 'f')
			digit = (unsigned)(c - 'a') + 10;
		else
			return false;
		out[i / 2] = (uint8_t)(i % 2 ? out[i / 2] << 4 | digit : digit);
	}
	return true;
}

/* True for a name that can stand between the slashes of the text form. */
static bool is_plain(str_t name)
{
	for (size_t i = 0; i < name.len; i++)
		if (name.ptr[i] <= ' ' || name.ptr[i] > '~' ||
		    name.ptr[i] == '/')
			return false;
	return name.len > 0 && name.len < NAME_BYTES;
}

static bool split(str_t text, ticket_parts_t *parts)
{
	size_t start = 0;
	size_t n = 0;
	uint8_t serial[sizeof(uint64_t)];

	if (text.len > TICKET_TEXT_BYTES)
		return false;
	for (size_t i = 0; i <= text.len; i++) {
		if (i < text.len && text.ptr[i] != '/')
			continue;
		if (n == TEXT_PARTS)
			return false;
		parts->part[n++] = (str_t){text.ptr + start, i - start};
		start = i + 1;
	}
	if (n != TEXT_PARTS ||
	    !str_equals(parts->part[0], STR_LIT(TEXT_PREFIX)))
		return false;
	if (!is_plain(parts->part[1]) || !is_plain(parts->part[2]) ||
	    !read_hex(parts->part[3], parts->incarnation.bytes, MSG_ID_BYTES) ||
	    !read_hex(parts->part[4], serial, sizeof(serial)) ||
	    !read_hex(parts->part[5], parts->subject, SUBJECT_BYTES) ||
	    !read_hex(parts->part[6], parts->mac, sizeof(parts->mac)))
		return false;
	parts->serial = 0;
	for (size_t i = 0; i < sizeof(serial); i++)
		parts->serial = parts->serial << 8 | serial[i];
	parts->signed_text =
		(str_t){text.ptr, (size_t)(parts->part[6].ptr - text.ptr)};
	return true;
}

static void keyed_digest(const ticket_table_t *table, str_t text,
			 uint8_t out[SHA256_DIGEST_LENGTH])
{
	unsigned len = SHA256_DIGEST_LENGTH;

	if (!HMAC(EVP_sha256(), table->key, KEY_BYTES,
		  (const unsigned char *)text.ptr, text.len, out, &len))
		abort();
}

/* Keyed, so that the text tells nobody which customer it is for. */
static void subject_of(const ticket_table_t *table, str_t customer,
		       str_t service, str_t call, uint8_t out[SUBJECT_BYTES])
{
	uint8_t digest[SHA256_DIGEST_LENGTH];
	buf_t text = BUF_INIT;

	buf_printf(&text, "subject %zu %zu %zu ", customer.len, service.len,
		   call.len);
	buf_append_str(&text, customer);
	buf_append_str(&text, service);
	buf_append_str(&text, call);
	keyed_digest(table, buf_view(&text), digest);
	memcpy(out, digest, SUBJECT_BYTES);
	buf_release(&text);
}

static record_t *find_record(const ticket_table_t *table, uint64_t serial)
{
	record_t *record = table->buckets[serial % RECORD_BUCKETS];

	while (record && record->serial != serial)
		record = record->chain;
	return record;
}

static void list_add(record_list_t *list, record_t *record, bool in_front)
{
	record->prev = in_front ? NULL : list->last;
	record->next = in_front ? list->first : NULL;
	*(record->prev ? &record->prev->next : &list->first) = record;
	*(record->next ? &record->next->prev : &list->last) = record;
	list->count++;
}

static void list_remove(record_list_t *list, record_t *record)
{
	*(record->prev ? &record->prev->next : &list->first) = record->next;
	*(record->next ? &record->next->prev : &list->last) = record->prev;
	list->count--;
}

static record_t *list_take_first(record_list_t *list)
{
	record_t *first = list->first;

	list->first = first->next;
	*(first->next ? &first->next->prev : &list->last) = NULL;
	list->count--;
	return first;
}

/* Frees a record that is on no list. */
static void free_record(ticket_table_t *table, record_t *record)
{
	record_t **link = &table->buckets[record->serial % RECORD_BUCKETS];

	while (*link != record)
		link = &(*link)->chain;
	*link = record->chain;
	table->result_bytes -= record->memory_len;
	free(record->memory);
	free(record);
}

static void sweep(ticket_table_t *table, int64_t now_ms)
{
	record_t *record;

	while ((record = table->unspent.first) &&
	       now_ms - record->since_ms >= TICKET_LIFE_MS) {
		free_record(table, list_take_first(&table->unspent));
	}
	while ((record = table->done.first) &&
	       (now_ms - record->since_ms >= TICKET_RESULT_LIFE_MS ||
		table->done.count > TICKET_MAX ||
		table->result_bytes > TICKET_MAX_RESULT_BYTES)) {
		free_record(table, list_take_first(&table->done));
	}
}

/* Serials below the watermark have lost their bit. */
static bool is_remembered(const ticket_table_t *table, uint64_t serial)
{
	return table->next_serial - serial <= table->remembered;
}

static bool was_spent(const ticket_table_t *table, uint64_t serial)
{
	uint64_t bit = serial % table->remembered;

	return table->spent[bit / BITS_PER_BYTE] >> bit % BITS_PER_BYTE & 1;
}

static void set_spent(ticket_table_t *table, uint64_t serial, bool spent)
{
	uint64_t bit = serial % table->remembered;
	uint8_t mask = (uint8_t)(1U << bit % BITS_PER_BYTE);

	if (!is_remembered(table, serial))
		return;
	if (spent)
		table->spent[bit / BITS_PER_BYTE] |= mask;
	else
		table->spent[bit / BITS_PER_BYTE] &= (uint8_t)~mask;
}

/* Copies the text to `*at` and moves it behind the copy. */
static void keep(char **at, str_t from, str_t *to)
{
	if (from.len)
		memcpy(*at, from.ptr, from.len);
	*to = (str_t){*at, from.len};
	*at += from.len;
}

ticket_table_t *ticket_table_create(const mclock_t *clock, str_t host,
				    str_t address, const msg_id_t *incarnation)
{
	return ticket_table_create_sized(clock, host, address, incarnation,
					 TICKET_REMEMBERED);
}

ticket_table_t *ticket_table_create_sized(const mclock_t *clock, str_t host,
					  str_t address,
					  const msg_id_t *incarnation,
					  uint64_t remembered)
{
	ticket_table_t *table;

	if (!is_plain(host) || !is_plain(address))
		return NULL;
	table = calloc(1, sizeof(*table));
	if (!table)
		return NULL;
	table->remembered = remembered;
	table->spent = calloc(1, remembered / BITS_PER_BYTE + 1);
	if (!table->spent || RAND_bytes(table->key, KEY_BYTES) != 1) {
		ticket_table_free(table);
		return NULL;
	}
	table->clock = clock;
	str_copy(table->host, sizeof(table->host), host);
	str_copy(table->address, sizeof(table->address), address);
	table->incarnation = *incarnation;
	table->next_serial = 1;
	return table;
}

void ticket_table_free(ticket_table_t *table)
{
	if (!table)
		return;
	for (size_t i = 0; i < RECORD_BUCKETS; i++)
		while (table->buckets[i])
			free_record(table, table->buckets[i]);
	free(table->spent);
	OPENSSL_cleanse(table->key, KEY_BYTES);
	free(table);
}

err_code_t ticket_issue(ticket_table_t *table, str_t customer, str_t service,
			str_t call, buf_t *text)
{
	int64_t now_ms = mclock_now_ms(table->clock);
	uint8_t subject[SUBJECT_BYTES];
	uint8_t mac[SHA256_DIGEST_LENGTH];
	size_t start = text->len;
	record_t *record;

	sweep(table, now_ms);
	if (table->unspent.count + table->running >= TICKET_MAX_UNSPENT)
		return ERR_FULL;
	record = calloc(1, sizeof(*record));
	if (!record)
		return ERR_FULL;
	record->serial = table->next_serial++;
	record->since_ms = now_ms;
	record->chain = table->buckets[record->serial % RECORD_BUCKETS];
	table->buckets[record->serial % RECORD_BUCKETS] = record;
	list_add(&table->unspent, record, false);
	set_spent(table, record->serial, false);

	buf_printf(text, TEXT_PREFIX "/%s/%s/", table->host, table->address);
	append_hex(text, table->incarnation.bytes, MSG_ID_BYTES);
	buf_printf(text, "/%016llx/", (unsigned long long)record->serial);
	subject_of(table, customer, service, call, subject);
	append_hex(text, subject, SUBJECT_BYTES);
	buf_append(text, "/", 1);
	keyed_digest(table, (str_t){text->ptr + start, text->len - start}, mac);
	append_hex(text, mac, sizeof(mac));
	return ERR_OK;
}

err_code_t ticket_parse(str_t text, ticket_name_t *name, err_t *err)
{
	ticket_parts_t parts;

	if (!split(text, &parts))
		return err_set(err, ERR_INVALID, "ticket", "",
			       "malformed ticket");
	name->address = parts.part[2];
	name->incarnation = parts.incarnation;
	name->serial = parts.serial;
	return ERR_OK;
}

/* Verdict on a genuine ticket; spends it when it may run. */
static ticket_verdict_t spend_serial(ticket_table_t *table, uint64_t serial,
				     str_t body, ticket_result_t *result)
{
	record_t *record = find_record(table, serial);
	uint8_t digest[SHA256_DIGEST_LENGTH];

	if (!record &&
	    (!is_remembered(table, serial) || was_spent(table, serial)))
		return TICKET_FORGOTTEN;
	if (!record)
		return TICKET_EXPIRED;
	SHA256((const unsigned char *)(body.len ? body.ptr : ""), body.len,
	       digest);
	if (record->state == RECORD_UNSPENT) {
		/* The sweep may stop before this one. */
		if (mclock_now_ms(table->clock) - record->since_ms >=
		    TICKET_LIFE_MS)
			return TICKET_EXPIRED;
		list_remove(&table->unspent, record);
		record->state = RECORD_RUNNING;
		table->running++;
		set_spent(table, serial, true);
		memcpy(record->body_digest, digest, sizeof(digest));
		return TICKET_RUN;
	}
	if (memcmp(record->body_digest, digest, sizeof(digest)) != 0)
		return TICKET_OTHER_BODY;
	if (record->state == RECORD_RUNNING)
		return TICKET_IN_PROGRESS;
	*result = record->result;
	return TICKET_DONE;
}

ticket_verdict_t ticket_spend(ticket_table_t *table, str_t text, str_t customer,
			      str_t service, str_t call, str_t body,
			      uint64_t *serial, ticket_result_t *result)
{
	ticket_parts_t parts;
	uint8_t mac[SHA256_DIGEST_LENGTH];
	uint8_t subject[SUBJECT_BYTES];

	if (!split(text, &parts))
		return TICKET_FORGED;
	/* Another process's key is unknown here, so its digest can't be
	 * checked. */
	if (memcmp(&parts.incarnation, &table->incarnation, sizeof(msg_id_t)) !=
	    0)
		return TICKET_FOREIGN;
	keyed_digest(table, parts.signed_text, mac);
	if (CRYPTO_memcmp(mac, parts.mac, sizeof(mac)))
		return TICKET_FORGED;
	assert(parts.serial && parts.serial < table->next_serial);
	subject_of(table, customer, service, call, subject);
	if (CRYPTO_memcmp(subject, parts.subject, sizeof(subject)))
		return TICKET_OTHER_CALL;
	sweep(table, mclock_now_ms(table->clock));
	*serial = parts.serial;
	return spend_serial(table, parts.serial, body, result);
}

void ticket_finish(ticket_table_t *table, uint64_t serial,
		   const ticket_result_t *result)
{
	record_t *record = find_record(table, serial);
	char *at;

	if (!record || record->state != RECORD_RUNNING)
		return;
	record->result = *result;
	record->memory_len = result->content_type.len + result->body.len +
			     result->step.len + result->peer.len +
			     result->message.len;
	record->memory = malloc(record->memory_len + 1);
	if (!record->memory)
		abort();
	at = record->memory;
	keep(&at, result->content_type, &record->result.content_type);
	keep(&at, result->body, &record->result.body);
	keep(&at, result->step, &record->result.step);
	keep(&at, result->peer, &record->result.peer);
	keep(&at, result->message, &record->result.message);
	table->result_bytes += record->memory_len;
	table->running--;
	record->state = RECORD_DONE;
	record->since_ms = mclock_now_ms(table->clock);
	list_add(&table->done, record, false);
	sweep(table, record->since_ms);
}

void ticket_unspend(ticket_table_t *table, uint64_t serial)
{
	record_t *record = find_record(table, serial);

	if (!record || record->state != RECORD_RUNNING)
		return;
	table->running--;
	record->state = RECORD_UNSPENT;
	set_spent(table, serial, false);
	/* It is among the oldest. A later one in front only delays the sweep;
	 * ticket_spend() checks the age itself. */
	list_add(&table->unspent, record, true);
	sweep(table, mclock_now_ms(table->clock));
}
