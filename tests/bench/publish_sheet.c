/*
 * Publishes a sheet on the platform stand-in as nodes, the root last.
 *
 * Usage: publish_sheet CONTROL SHEET [FORMER_SHEET]
 * Nodes of the former sheet are taken as published already.
 */
#include "base/mclock.h"
#include "state/node.h"
#include "state/sheetcheck.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#define READ_BYTES 65536
#define PUT_TIMEOUT_MS 10000L

typedef struct publisher {
	CURL *easy;
	const char *control;
	node_cache_t *former;
	node_digest_t root;
	size_t nodes;
	size_t bytes;
} publisher_t;

static size_t ignore_bytes(char *bytes, size_t size, size_t count, void *user)
{
	(void)bytes;
	(void)user;
	return size * count;
}

static err_code_t put(publisher_t *publisher, const char *key, str_t bytes)
{
	char url[256];
	long status = 0;

	snprintf(url, sizeof(url), "http://%s/control/put?key=%s",
		 publisher->control, key);
	curl_easy_setopt(publisher->easy, CURLOPT_URL, url);
	curl_easy_setopt(publisher->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(publisher->easy, CURLOPT_TIMEOUT_MS, PUT_TIMEOUT_MS);
	curl_easy_setopt(publisher->easy, CURLOPT_WRITEFUNCTION, ignore_bytes);
	curl_easy_setopt(publisher->easy, CURLOPT_POSTFIELDS, bytes.ptr);
	curl_easy_setopt(publisher->easy, CURLOPT_POSTFIELDSIZE,
			 (long)bytes.len);
	if (curl_easy_perform(publisher->easy) != CURLE_OK)
		return ERR_IO;
	curl_easy_getinfo(publisher->easy, CURLINFO_RESPONSE_CODE, &status);
	publisher->nodes++;
	publisher->bytes += bytes.len;
	return status == 200 ? ERR_OK : ERR_REFUSED;
}

static err_code_t keep(void *user, const node_digest_t *digest, str_t bytes)
{
	publisher_t *publisher = user;

	node_cache_put(publisher->former, digest, bytes);
	return ERR_OK;
}

static err_code_t publish(void *user, const node_digest_t *digest, str_t bytes)
{
	publisher_t *publisher = user;
	char key[NODE_KEY_BYTES];
	buf_t known = BUF_INIT;
	bool found = node_cache_get(publisher->former, digest, &known);

	buf_release(&known);
	if (found)
		return ERR_OK;
	if (!memcmp(digest, &publisher->root, sizeof(*digest)))
		return put(publisher, NODE_ROOT_KEY, bytes);
	node_format_key(digest, key);
	return put(publisher, key, bytes);
}

static sheet_t *read_sheet(const char *path)
{
	FILE *file = fopen(path, "re");
	buf_t text = BUF_INIT, report = BUF_INIT;
	sheet_t *sheet = NULL;
	size_t got;

	if (!file) {
		perror(path);
		return NULL;
	}
	do {
		buf_reserve(&text, READ_BYTES);
		got = fread(text.ptr + text.len, 1, READ_BYTES, file);
		text.len += got;
	} while (got == READ_BYTES);
	fclose(file);
	sheet = sheetcheck_parse(buf_view(&text), path, &report);
	if (!sheet)
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
	buf_release(&text);
	buf_release(&report);
	return sheet;
}

int main(int argc, char **argv)
{
	publisher_t publisher = {.former = node_cache_create()};
	node_digest_t former_root;
	sheet_t *sheet, *former;
	err_code_t code;

	if (argc < 3 || argc > 4) {
		fprintf(stderr,
			"usage: publish_sheet CONTROL SHEET [FORMER]\n");
		return 2;
	}
	publisher.control = argv[1];
	publisher.easy = curl_easy_init();
	sheet = read_sheet(argv[2]);
	former = argc == 4 ? read_sheet(argv[3]) : NULL;
	if (!sheet || (argc == 4 && !former))
		return 1;
	if (former && node_pack(former, keep, &publisher, &former_root, NULL))
		return 1;
	code = node_digest_of(sheet, &publisher.root);
	if (!code)
		code = node_pack(sheet, publish, &publisher, &publisher.root,
				 NULL);
	printf("published %zu values, %zu bytes: %s\n", publisher.nodes,
	       publisher.bytes, err_code_name(code));
	sheet_free(sheet);
	sheet_free(former);
	node_cache_free(publisher.former);
	curl_easy_cleanup(publisher.easy);
	return code ? 1 : 0;
}
