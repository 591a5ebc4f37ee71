/*
 * sheet-pack - writes the nodes of a sheet into a directory
 *
 * Usage: sheet-pack SHEET.toml DIRECTORY. Writes DIRECTORY/root and one file
 * DIRECTORY/node-HEX for each other node. Exits 1 for a faulty sheet.
 */
#include <stdio.h>

#include "state/node.h"
#include "state/sheetcheck.h"

#define PATH_BYTES 4096

typedef struct target {
	const char *directory;
	buf_t root;
} target_t;

static int write_file(const target_t *target, const char *name, str_t bytes)
{
	char path[PATH_BYTES];
	FILE *file;
	size_t done;

	snprintf(path, sizeof(path), "%s/%s", target->directory, name);
	file = fopen(path, "wb");
	if (!file)
		return -1;
	done = fwrite(bytes.ptr, 1, bytes.len, file);
	return fclose(file) || done != bytes.len ? -1 : 0;
}

static err_code_t write_node(void *user, const node_digest_t *digest,
			     str_t bytes)
{
	char key[NODE_KEY_BYTES];
	char name[sizeof("node-") + NODE_KEY_BYTES];
	target_t *target = user;

	node_format_key(digest, key);
	snprintf(name, sizeof(name), "node-%s",
		 key + sizeof("sheet/node/") - 1);
	/* The root comes last. */
	buf_reset(&target->root);
	buf_append_str(&target->root, bytes);
	return write_file(target, name, bytes) ? ERR_IO : ERR_OK;
}

static int read_file(const char *path, buf_t *text)
{
	FILE *file = fopen(path, "rb");

	if (!file)
		return -1;
	buf_reserve(text, SHEETCHECK_MAX_BYTES);
	text->len = fread(text->ptr, 1, SHEETCHECK_MAX_BYTES, file);
	return fclose(file);
}

int main(int argc, char **argv)
{
	target_t target = {argc == 3 ? argv[2] : "", BUF_INIT};
	buf_t text = BUF_INIT, report = BUF_INIT;
	sheet_t *sheet = NULL;
	node_digest_t digest;
	int status = 1;

	if (argc == 3 && !read_file(argv[1], &text))
		sheet = sheetcheck_parse(buf_view(&text), argv[1], &report);
	if (!sheet)
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
	else if (!node_pack(sheet, write_node, &target, &digest, NULL) &&
		 !write_file(&target, "root", buf_view(&target.root)))
		status = 0;
	if (sheet)
		sheet_free(sheet);
	buf_release(&text);
	buf_release(&report);
	buf_release(&target.root);
	return status;
}
