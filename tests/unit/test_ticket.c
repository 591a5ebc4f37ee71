#include "unit.h"

#include <stdlib.h>

#include "coordination/ticket.h"

#define SEED 20261204
#define ROUNDS 20000
#define LIVE 64

static const msg_id_t here = {{1}};
static const msg_id_t elsewhere = {{2}};
static mclock_manual_t manual;

static ticket_table_t *new_table(const msg_id_t *incarnation)
{
	mclock_manual_init(&manual, 1000);
	return ticket_table_create_sized(&manual.base, STR_LIT("h1"),
					 STR_LIT("10.0.0.1:7001"), incarnation,
					 4096);
}

static err_code_t issue(ticket_table_t *table, buf_t *text)
{
	buf_reset(text);
	return ticket_issue(table, STR_LIT("alice"), STR_LIT("claims"),
			    STR_LIT("book"), text);
}

static ticket_verdict_t spend_body(ticket_table_t *table, str_t text,
				   str_t body, uint64_t *serial,
				   ticket_result_t *result)
{
	return ticket_spend(table, text, STR_LIT("alice"), STR_LIT("claims"),
			    STR_LIT("book"), body, serial, result);
}

static ticket_verdict_t spend(ticket_table_t *table, const buf_t *text,
			      uint64_t *serial)
{
	ticket_result_t result;

	return spend_body(table, buf_view(text), STR_LIT("{}"), serial,
			  &result);
}

static void finish(ticket_table_t *table, uint64_t serial)
{
	ticket_result_t result = {.outcome = MSG_COMPLETED,
				  .http_status = 201,
				  .body = STR_LIT("booked")};

	ticket_finish(table, serial, &result);
}

/* Guards P7 through the life of one ticket. */
static void test_runs_once(void)
{
	ticket_table_t *table = new_table(&here);
	ticket_result_t result;
	buf_t text = BUF_INIT;
	uint64_t serial = 0;

	CU_ASSERT_EQUAL(issue(table, &text), ERR_OK);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_RUN);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_IN_PROGRESS);
	ticket_unspend(table, serial);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_RUN);
	/* A run longer than the life of an unspent ticket stays spent. */
	mclock_manual_advance(&manual, 2L * TICKET_LIFE_MS);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_IN_PROGRESS);
	finish(table, serial);
	ticket_unspend(table, serial);
	CU_ASSERT_EQUAL(spend_body(table, buf_view(&text), STR_LIT("{}"),
				   &serial, &result),
			TICKET_DONE);
	CU_ASSERT_TRUE(str_equals(result.body, STR_LIT("booked")));
	CU_ASSERT_EQUAL(result.http_status, 201);
	CU_ASSERT_EQUAL(spend_body(table, buf_view(&text), STR_LIT("{1}"),
				   &serial, &result),
			TICKET_OTHER_BODY);
	mclock_manual_advance(&manual, TICKET_RESULT_LIFE_MS);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_FORGOTTEN);
	buf_release(&text);
	ticket_table_free(table);
}

/* Guards P6 and P7: once told "not run", a ticket must never run, also when it
 * was unspent in between and the sweep has not reached it. */
static void test_expired_for_ever(void)
{
	ticket_table_t *table = new_table(&here);
	buf_t old = BUF_INIT;
	buf_t mid = BUF_INIT;
	buf_t text = BUF_INIT;
	uint64_t serial = 0;

	CU_ASSERT_EQUAL(issue(table, &old), ERR_OK);
	mclock_manual_advance(&manual, 10);
	CU_ASSERT_EQUAL(issue(table, &mid), ERR_OK);
	mclock_manual_advance(&manual, 10);
	CU_ASSERT_EQUAL(issue(table, &text), ERR_OK);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_RUN);
	ticket_unspend(table, serial);
	mclock_manual_advance(&manual, TICKET_LIFE_MS - 15);
	CU_ASSERT_EQUAL(spend(table, &old, &serial), TICKET_EXPIRED);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_RUN);
	CU_ASSERT_EQUAL(spend(table, &mid, &serial), TICKET_RUN);
	mclock_manual_advance(&manual, TICKET_LIFE_MS);
	ticket_unspend(table, serial);
	for (int i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(spend(table, &old, &serial), TICKET_EXPIRED);
		CU_ASSERT_EQUAL(spend(table, &mid, &serial), TICKET_EXPIRED);
		mclock_manual_advance(&manual, 2L * TICKET_RESULT_LIFE_MS);
	}
	buf_release(&old);
	buf_release(&mid);
	buf_release(&text);
	ticket_table_free(table);
}

/* Guards against tickets that another customer, call or process may spend, and
 * against any altered byte. */
static void test_refuses_what_it_did_not_issue(void)
{
	ticket_table_t *table = new_table(&here);
	ticket_table_t *other = new_table(&elsewhere);
	ticket_result_t result;
	ticket_name_t name;
	buf_t text = BUF_INIT;
	uint64_t serial = 0;

	CU_ASSERT_EQUAL(issue(table, &text), ERR_OK);
	buf_append(&text, "", 1);
	CU_ASSERT_PTR_NULL(strstr(text.ptr, "alice"));
	CU_ASSERT_PTR_NULL(strstr(text.ptr, "claims"));
	text.len--;
	CU_ASSERT_EQUAL(ticket_parse(buf_view(&text), &name, NULL), ERR_OK);
	CU_ASSERT_TRUE(str_equals(name.address, STR_LIT("10.0.0.1:7001")));
	CU_ASSERT_EQUAL(spend(other, &text, &serial), TICKET_FOREIGN);
	CU_ASSERT_EQUAL(ticket_spend(table, buf_view(&text), STR_LIT("alicec"),
				     STR_LIT("laims"), STR_LIT("book"),
				     STR_LIT("{}"), &serial, &result),
			TICKET_OTHER_CALL);
	for (size_t i = 0; i < text.len; i++) {
		ticket_verdict_t verdict;
		char had = text.ptr[i];

		text.ptr[i] = had == '0' ? '1' : '0';
		verdict = spend(table, &text, &serial);
		CU_ASSERT(verdict == TICKET_FORGED ||
			  verdict == TICKET_FOREIGN);
		text.ptr[i] = had;
		CU_ASSERT_EQUAL(spend_body(table, (str_t){text.ptr, i},
					   STR_LIT("{}"), &serial, &result),
				TICKET_FORGED);
	}
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_RUN);
	buf_release(&text);
	ticket_table_free(table);
	ticket_table_free(other);
}

/* Guards against unbounded memory, and against evicted results that run again
 * or claim "not run". */
static void test_memory_is_bounded(void)
{
	ticket_table_t *table = new_table(&here);
	ticket_result_t big = {.outcome = MSG_COMPLETED};
	buf_t first = BUF_INIT;
	buf_t text = BUF_INIT;
	uint64_t serial = 0;

	big.body.len = TICKET_MAX_RESULT_BYTES / 2 + 1;
	big.body.ptr = calloc(1, big.body.len);
	for (int i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(issue(table, i ? &text : &first), ERR_OK);
		spend(table, i ? &text : &first, &serial);
		ticket_finish(table, serial, &big);
	}
	free((char *)big.body.ptr);
	CU_ASSERT_EQUAL(spend(table, &first, &serial), TICKET_FORGOTTEN);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_DONE);
	for (int i = 0; i < TICKET_MAX; i++) {
		issue(table, &first);
		spend(table, &first, &serial);
		finish(table, serial);
	}
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_FORGOTTEN);
	CU_ASSERT_EQUAL(spend(table, &first, &serial), TICKET_DONE);
	for (int i = 0; i < TICKET_MAX_UNSPENT; i++)
		CU_ASSERT_EQUAL(issue(table, &first), ERR_OK);
	CU_ASSERT_EQUAL(issue(table, &text), ERR_FULL);
	CU_ASSERT_EQUAL(spend(table, &first, &serial), TICKET_RUN);
	CU_ASSERT_EQUAL(issue(table, &text), ERR_FULL);
	buf_release(&first);
	buf_release(&text);
	ticket_table_free(table);
}

/* Guards P6 and P7 under any order of calls: a model of each ticket says
 * which verdicts are allowed, also below the watermark of 4,096 serials. */
static void test_random_orders(void)
{
	struct {
		buf_t text;
		uint64_t serial;
		bool running, ran, expired;
	} live[LIVE] = {0};
	ticket_table_t *table = new_table(&here);
	ticket_verdict_t verdict;
	size_t runs = 0;

	srand(SEED);
	for (int round = 0; round < ROUNDS; round++) {
		size_t i = (size_t)rand() % LIVE;

		mclock_manual_advance(&manual, rand() % 4000);
		if (!live[i].text.len || rand() % 500 == 0) {
			if (live[i].running)
				finish(table, live[i].serial);
			issue(table, &live[i].text);
			live[i].running = live[i].ran = live[i].expired = false;
			continue;
		}
		verdict = spend(table, &live[i].text, &live[i].serial);
		if (live[i].running)
			CU_ASSERT_EQUAL(verdict, TICKET_IN_PROGRESS);
		if (live[i].ran)
			CU_ASSERT(verdict == TICKET_DONE ||
				  verdict == TICKET_FORGOTTEN);
		if (live[i].expired)
			CU_ASSERT(verdict == TICKET_EXPIRED ||
				  verdict == TICKET_FORGOTTEN);
		if (verdict == TICKET_RUN) {
			live[i].running = true;
			runs++;
		}
		live[i].expired |= verdict == TICKET_EXPIRED;
		if (live[i].running && rand() % 3 == 0) {
			live[i].running = false;
			live[i].ran = rand() % 2;
			if (live[i].ran)
				finish(table, live[i].serial);
			else
				ticket_unspend(table, live[i].serial);
		}
	}
	CU_ASSERT(runs > LIVE);
	for (size_t i = 0; i < LIVE; i++)
		buf_release(&live[i].text);
	ticket_table_free(table);
}

/* Guards P7: a spent serial whose bit was reused must not answer EXPIRED. */
static void test_watermark(void)
{
	ticket_table_t *table = new_table(&here);
	buf_t spent = BUF_INIT;
	buf_t unspent = BUF_INIT;
	buf_t text = BUF_INIT;
	uint64_t serial = 0;

	issue(table, &spent);
	issue(table, &unspent);
	spend(table, &spent, &serial);
	finish(table, serial);
	mclock_manual_advance(&manual, 2L * TICKET_RESULT_LIFE_MS);
	for (int i = 0; i < 4094; i++)
		issue(table, &text);
	CU_ASSERT_EQUAL(spend(table, &spent, &serial), TICKET_FORGOTTEN);
	CU_ASSERT_EQUAL(spend(table, &unspent, &serial), TICKET_EXPIRED);
	for (int i = 0; i < 4; i++)
		issue(table, &text);
	CU_ASSERT_EQUAL(spend(table, &spent, &serial), TICKET_FORGOTTEN);
	CU_ASSERT_EQUAL(spend(table, &unspent, &serial), TICKET_FORGOTTEN);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_RUN);
	/* Every serial from 4,097 on uses the bit of an earlier one. */
	for (int i = 0; i < 4096; i++) {
		issue(table, &text);
		spend(table, &text, &serial);
		finish(table, serial);
	}
	issue(table, &text);
	mclock_manual_advance(&manual, TICKET_LIFE_MS);
	CU_ASSERT_EQUAL(spend(table, &text, &serial), TICKET_EXPIRED);
	buf_release(&spent);
	buf_release(&unspent);
	buf_release(&text);
	ticket_table_free(table);
}

int main(void)
{
	CU_TestInfo tests[] = {{"runs once", test_runs_once},
			       {"expired for ever", test_expired_for_ever},
			       {"refuses what it did not issue",
				test_refuses_what_it_did_not_issue},
			       {"memory is bounded", test_memory_is_bounded},
			       {"random orders", test_random_orders},
			       {"watermark", test_watermark},
			       CU_TEST_INFO_NULL};

	return unit_run("ticket", tests);
}
