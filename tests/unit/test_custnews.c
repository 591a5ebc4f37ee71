#include "unit.h"

#include <stdlib.h>

#include "coordination/custboard.h"
#include "coordination/custnews.h"
#include "coordination/custshare.h"

#define START_MS 1000000
#define SERVICE 0xfffffffeu
#define MAX_WEIGHT 1000 /* of a sheet */
#define CUSTOMERS 45000
#define LARGE_CUSTOMERS 2
/* Hashes are large numbers. */
#define FIRST_CUSTOMER 0x80000000u
#define HOSTS 350
#define SENDS 400 /* of each host */
/* Of messages; a daemon may use 3,000 bytes a second for control. */
#define MAX_REPORT_BYTES 512
#define MAX_TOTALS_BYTES 1024

/* Guards against a malformed or partial message that is taken for totals, or
 * that ends a host. */
static void test_garbled_message(void)
{
	custnews_t news = {.kind = CUSTNEWS_TOTALS,
			   .source = 9,
			   .is_short = true,
			   .uses = {{SERVICE, 1, 1, 2.5, 4.0, 1.0},
				    {SERVICE, 2, 3, 0.25, 2.0, 1e30}},
			   .count = 2};
	buf_t message = BUF_INIT;
	custnews_t received;
	err_t err;

	custnews_write(&news, &message);
	CU_ASSERT_TRUE(custnews_is_message(buf_view(&message)));
	CU_ASSERT_EQUAL(custnews_read(buf_view(&message), &received, &err),
			ERR_OK);
	CU_ASSERT_EQUAL(received.count, 2);
	CU_ASSERT_EQUAL(received.uses[0].used_per_s, 2.5);
	CU_ASSERT_EQUAL(received.uses[1].weight, 3);
	for (size_t len = 0; len < message.len; len++)
		CU_ASSERT_EQUAL(custnews_read((str_t){message.ptr, len},
					      &received, &err),
				ERR_INVALID);
	for (size_t at = 0; at < message.len; at++)
		for (unsigned value = 0; value < 256; value++) {
			char kept = message.ptr[at];

			message.ptr[at] = (char)value;
			if (!custnews_read(buf_view(&message), &received, &err))
				CU_ASSERT(received.count <=
					  CUSTSHARE_MAX_TOTALS);
			message.ptr[at] = kept;
		}
	news.uses[0].weight = 0;
	buf_reset(&message);
	custnews_write(&news, &message);
	CU_ASSERT_EQUAL(custnews_read(buf_view(&message), &received, &err),
			ERR_INVALID);
	buf_release(&message);
}

/* Counts a request for a long prompt, and its send. */
static void count_send(custshare_t *share, uint32_t customer, int64_t now_ms)
{
	double tokens = 12000.0;

	custshare_on_demand(share, SERVICE, customer, MAX_WEIGHT, tokens,
			    now_ms);
	custshare_on_use(share, SERVICE, customer, tokens, now_ms);
}

/* Scenario: 45,000 customers send to 350 hosts, a few of them much. Guards
 * against messages above the size of a datagram, traffic that grows with the
 * number of customers, and a large customer that the reports leave out. */
static void test_design_size(void)
{
	custboard_t *board = custboard_create();
	custnews_t news = {.kind = CUSTNEWS_HOST};
	int64_t now_ms = START_MS;
	buf_t message = BUF_INIT;

	for (uint32_t host = 1; host <= HOSTS; host++) {
		custshare_t *share = custshare_create(now_ms);

		for (unsigned i = 0; i < SENDS; i++)
			count_send(share,
				   FIRST_CUSTOMER +
					   (uint32_t)rand() %
						   (i % 10 ? CUSTOMERS :
							     LARGE_CUSTOMERS),
				   now_ms);
		news.source = host << 16 | host;
		news.count = custshare_report(share, now_ms + 1, news.uses);
		buf_reset(&message);
		custnews_write(&news, &message);
		CU_ASSERT(message.len <= MAX_REPORT_BYTES);
		custboard_add(board, &news, now_ms);
		custshare_free(share);
	}
	news.kind = CUSTNEWS_TOTALS;
	custboard_sum(board, &news, now_ms);
	buf_reset(&message);
	custnews_write(&news, &message);
	CU_ASSERT(message.len <= MAX_TOTALS_BYTES);
	CU_ASSERT_EQUAL(news.count, CUSTSHARE_MAX_TOTALS);
	for (unsigned i = 0; i < LARGE_CUSTOMERS; i++)
		CU_ASSERT(news.uses[i].customer <
			  FIRST_CUSTOMER + LARGE_CUSTOMERS);
	buf_release(&message);
	custboard_free(board);
}

int main(void)
{
	CU_TestInfo tests[] = {{"garbled message", test_garbled_message},
			       {"design size", test_design_size},
			       CU_TEST_INFO_NULL};

	return unit_run("custnews", tests);
}
