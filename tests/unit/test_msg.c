#include "unit.h"

#include <stdlib.h>

#include "protocol/msg.h"

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED 7

static msg_t sample(msg_kind_t kind)
{
	msg_t msg;

	memset(&msg, 0, sizeof(msg));
	msg.kind = kind;
	switch (kind) {
	case MSG_HELLO:
		msg.u.hello = (msg_hello_t){MSG_PROTOCOL,
					    MSG_ROLE_DISPATCH,
					    STR_LIT("mtl-1"),
					    STR_LIT("montreal"),
					    STR_LIT("127.0.0.1:7001"),
					    msg_id_random()};
		break;
	case MSG_STATUS:
		msg.u.status.host = STR_LIT("mtl-1");
		msg.u.status.leaving = true;
		msg.u.status.pool_count = 2;
		msg.u.status.pools[1] =
			(msg_pool_t){STR_LIT("model/bear"), 1, 2, 3, 4, 5};
		msg.u.status.member_count = 1;
		msg.u.status.members[0] =
			(msg_member_t){STR_LIT("qc-1"), STR_LIT("quebec"),
				       STR_LIT("127.0.0.1:7002")};
		break;
	case MSG_UNCHANGED:
		msg.u.unchanged.sequence = 1ULL << 33;
		break;
	case MSG_SUBMIT:
		msg.u.submit.kind = MSG_CALL;
		msg.u.submit.ticket = STR_LIT("ticket");
		msg.u.submit.body = (str_t){"{\0}", 3};
		break;
	case MSG_END:
		msg.u.end.outcome = MSG_UNKNOWN;
		msg.u.end.retry_elsewhere = true;
		msg.u.end.message = STR_LIT("no answer");
		break;
	case MSG_CHUNK:
		msg.u.chunk.offset = 1ULL << 40;
		msg.u.chunk.bytes = STR_LIT("data: x\n\n");
		break;
	default:
		break;
	}
	return msg;
}

/* A field that is encoded in one order and decoded in another would pass a
 * value to the wrong place: every kind must survive a second encoding. */
static void test_round_trip(void)
{
	for (int kind = MSG_HELLO; kind <= MSG_UNCHANGED; kind++) {
		msg_t in = sample((msg_kind_t)kind);
		msg_t out;
		buf_t first = BUF_INIT;
		buf_t second = BUF_INIT;
		err_t err;

		msg_encode(&in, &first);
		CU_ASSERT_EQUAL(msg_decode(buf_view(&first), &out, &err),
				ERR_OK);
		msg_encode(&out, &second);
		CU_ASSERT_TRUE(str_equals(buf_view(&first), buf_view(&second)));
		buf_release(&first);
		buf_release(&second);
	}
}

static void test_status_values(void)
{
	msg_t in = sample(MSG_STATUS);
	msg_t out;
	buf_t raw = BUF_INIT;

	msg_encode(&in, &raw);
	CU_ASSERT_EQUAL_FATAL(msg_decode(buf_view(&raw), &out, NULL), ERR_OK);
	CU_ASSERT_TRUE(out.u.status.leaving);
	CU_ASSERT_EQUAL(out.u.status.pool_count, 2);
	CU_ASSERT_EQUAL(out.u.status.pools[1].in_flight, 3);
	CU_ASSERT_TRUE(
		str_equals(out.u.status.members[0].domain, STR_LIT("quebec")));
	buf_release(&raw);
}

/* Every cut of a message, and bytes after it, must be refused. */
static void test_truncated_and_trailing(void)
{
	for (int kind = MSG_HELLO; kind <= MSG_UNCHANGED; kind++) {
		msg_t in = sample((msg_kind_t)kind);
		msg_t out;
		buf_t raw = BUF_INIT;

		msg_encode(&in, &raw);
		for (size_t len = 0; len < raw.len; len++)
			CU_ASSERT_EQUAL(
				msg_decode((str_t){raw.ptr, len}, &out, NULL),
				ERR_INVALID);
		buf_append(&raw, "\xc0", 1);
		CU_ASSERT_EQUAL(msg_decode(buf_view(&raw), &out, NULL),
				ERR_INVALID);
		buf_release(&raw);
	}
}

/* A daemon of a later release must be told apart from a malformed peer. */
static void test_other_protocol(void)
{
	msg_t in = sample(MSG_HELLO);
	msg_t out;
	buf_t raw = BUF_INIT;

	in.u.hello.protocol = MSG_PROTOCOL + 1;
	msg_encode(&in, &raw);
	CU_ASSERT_EQUAL(msg_decode(buf_view(&raw), &out, NULL), ERR_VERSION);
	buf_release(&raw);
}

/* An outcome outside the vocabulary must not index the name table. */
static void test_unknown_outcome(void)
{
	msg_t in = sample(MSG_END);
	msg_t out;
	buf_t raw = BUF_INIT;

	in.u.end.outcome = (msg_outcome_t)9;
	msg_encode(&in, &raw);
	CU_ASSERT_EQUAL(msg_decode(buf_view(&raw), &out, NULL), ERR_INVALID);
	buf_release(&raw);
}

/* Random damage must never crash the decoder; the sanitizer build of this
 * program also catches reads outside the frame. */
static void test_fuzz(void)
{
	unsigned accepted = 0;

	srandom(FUZZ_SEED);
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		msg_t in = sample(
			(msg_kind_t)(MSG_HELLO + random() % MSG_UNCHANGED));
		msg_t out;
		buf_t raw = BUF_INIT;
		char *exact;

		msg_encode(&in, &raw);
		for (int i = 0; i < 1 + random() % 4; i++)
			raw.ptr[(size_t)random() % raw.len] = (char)random();
		raw.len -= (size_t)random() % 3 % raw.len;
		exact = malloc(raw.len);
		memcpy(exact, raw.ptr, raw.len);
		accepted += msg_decode((str_t){exact, raw.len}, &out, NULL) ==
			    ERR_OK;
		free(exact);
		buf_release(&raw);
	}
	CU_ASSERT(accepted < FUZZ_ROUNDS);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"round trip of every kind", test_round_trip},
		{"values of STATUS", test_status_values},
		{"truncated and trailing", test_truncated_and_trailing},
		{"other protocol", test_other_protocol},
		{"unknown outcome", test_unknown_outcome},
		{"fuzz", test_fuzz},
		CU_TEST_INFO_NULL};

	return unit_run("msg", tests);
}
