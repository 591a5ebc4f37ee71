/*
 * Measures a sheet with many customers: time and memory of parsing, packing
 * and loading it, and the bytes of new nodes after a change of one customer.
 *
 * Usage: bench_sheet [CUSTOMERS]
 */
#include "base/mclock.h"
#include "state/node.h"
#include "state/sheetcheck.h"
#include "state/store.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#define DEFAULT_CUSTOMERS 45000
#define LOOKUPS 1000000

typedef struct sums {
	node_cache_t *cache;
	node_cache_t *known; /* nodes in here are not counted as new */
	size_t nodes;
	size_t bytes;
	size_t new_nodes;
	size_t new_bytes;
	size_t largest;
} sums_t;

static int64_t start_us;

static void start_timer(void)
{
	start_us = mclock_now_us(mclock_system());
}

static double stop_timer_ms(void)
{
	return (double)(mclock_now_us(mclock_system()) - start_us) / 1000;
}

static double heap_mib(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / (1024 * 1024);
}

static double peak_mib(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_maxrss / 1024;
}

static err_code_t count_node(void *user, const node_digest_t *digest,
			     str_t bytes)
{
	sums_t *sums = user;
	buf_t out = BUF_INIT;

	sums->nodes++;
	sums->bytes += bytes.len;
	if (bytes.len > sums->largest)
		sums->largest = bytes.len;
	if (!sums->known || !node_cache_get(sums->known, digest, &out)) {
		sums->new_nodes++;
		sums->new_bytes += bytes.len;
	}
	buf_release(&out);
	if (sums->cache)
		node_cache_put(sums->cache, digest, bytes);
	return ERR_OK;
}

static err_code_t get_node(void *user, const node_digest_t *digest, buf_t *out,
			   err_t *err)
{
	if (node_cache_get(user, digest, out))
		return ERR_OK;
	return err_set(err, ERR_NOT_FOUND, "bench", "", "no such node");
}

static void write_sheet(buf_t *text, unsigned customers, unsigned version,
			unsigned weight)
{
	buf_printf(text, "version = %u\n", version);
	buf_printf(text, "%s",
		   "[[domain]]\nname = \"d\"\nregion = \"r\"\n"
		   "[[class]]\nname = \"report\"\ntier = 0\n"
		   "first_token_ms = 1700\ntimeout_ms = 120000\n"
		   "[[class]]\nname = \"chat\"\ntier = 1\n"
		   "first_token_ms = 1000\ntimeout_ms = 30000\n"
		   "[[model]]\nname = \"m\"\n");
	for (unsigned i = 0; i < customers; i++) {
		char name[32];
		node_digest_t digest;

		snprintf(name, sizeof(name), "customer-%06u", i);
		digest = node_digest_bytes(str_from(name));
		buf_printf(text, "[[customer]]\nname = \"%s\"\nkey_sha256 = \"",
			   name);
		for (size_t j = 0; j < SHEET_DIGEST_BYTES; j++)
			buf_printf(text, "%02x", digest.bytes[j]);
		buf_printf(text,
			   "\"\nweight = %u\nmax_in_flight = 64\n"
			   "classes = [\"report\", \"chat\"]\n",
			   i == customers / 2 ? weight : 1);
	}
}

static sheet_t *parse(str_t text)
{
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(text, "bench", &report);

	if (!sheet) {
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
		exit(1);
	}
	buf_release(&report);
	return sheet;
}

static void measure_lookups(const sheet_t *sheet)
{
	size_t found = 0;

	start_timer();
	for (unsigned i = 0; i < LOOKUPS; i++) {
		size_t at = (size_t)i * 7919 % sheet->customer_count;

		found += sheet_find_customer(sheet,
					     sheet->customers[at].key_digest) !=
			 NULL;
	}
	printf("customer look-up: %.0f ns (%zu of %d found)\n",
	       stop_timer_ms() * 1e6 / LOOKUPS, found, LOOKUPS);
}

/* Packs into a cache and returns the root's bytes in `root`. */
static void pack(const sheet_t *sheet, sums_t *sums, buf_t *root)
{
	node_digest_t digest;

	start_timer();
	if (node_pack(sheet, count_node, sums, &digest, NULL) != ERR_OK)
		exit(1);
	printf("pack: %.0f ms, %zu nodes, %zu bytes, largest node %zu bytes\n",
	       stop_timer_ms(), sums->nodes, sums->bytes, sums->largest);
	buf_reset(root);
	node_cache_get(sums->cache, &digest, root);
}

static void measure_change(store_t *store, node_cache_t *cache, buf_t *text,
			   unsigned customers)
{
	sums_t sums = {.cache = node_cache_create(), .known = cache};
	buf_t root = BUF_INIT;
	sheet_t *sheet;
	err_t err;

	buf_reset(text);
	write_sheet(text, customers, 2, 2);
	sheet = parse(buf_view(text));
	pack(sheet, &sums, &root);
	sheet_free(sheet);
	printf("change of one customer: %zu new nodes, %zu bytes\n",
	       sums.new_nodes, sums.new_bytes);
	start_timer();
	sheet = node_unpack(buf_view(&root), get_node, sums.cache, &err);
	if (!sheet || store_activate(store, sheet, &err) != ERR_OK)
		exit(1);
	printf("unpack and activate version 2: %.0f ms\n", stop_timer_ms());
	buf_release(&root);
	node_cache_free(sums.cache);
}

int main(int argc, char **argv)
{
	unsigned customers = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) :
					DEFAULT_CUSTOMERS;
	store_t *store = store_create(mclock_system());
	sums_t sums = {.cache = node_cache_create()};
	buf_t root = BUF_INIT;
	buf_t text = BUF_INIT;
	double heap;
	sheet_t *sheet;
	err_t err;

	store_register_thread();
	write_sheet(&text, customers, 1, 1);
	printf("customers: %u, TOML: %zu bytes\n", customers, text.len);
	heap = heap_mib();
	start_timer();
	sheet = parse(buf_view(&text));
	printf("parse: %.0f ms, sheet %.1f MiB, process peak %.0f MiB\n",
	       stop_timer_ms(), heap_mib() - heap, peak_mib());
	heap = heap_mib();
	pack(sheet, &sums, &root);
	printf("node cache: %.1f MiB\n", heap_mib() - heap);
	measure_lookups(sheet);
	sheet_free(sheet);
	heap = heap_mib();
	start_timer();
	sheet = node_unpack(buf_view(&root), get_node, sums.cache, &err);
	if (!sheet || store_activate(store, sheet, &err) != ERR_OK)
		return 1;
	printf("unpack and activate version 1: %.0f ms, store %.1f MiB\n",
	       stop_timer_ms(), heap_mib() - heap);
	measure_change(store, sums.cache, &text, customers);
	store_unregister_thread();
	store_free(store);
	node_cache_free(sums.cache);
	buf_release(&root);
	buf_release(&text);
	return 0;
}
