#include "unit.h"

#include "sheets.h"
#include "state/node.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_NODES 16
#define FUZZ_ROUNDS 20000
#define FUZZ_SEED 20261204

/* Nodes in the order of node_pack(): children before parents, root last. */
typedef struct tree {
	size_t count;
	node_digest_t digests[MAX_NODES];
	buf_t nodes[MAX_NODES];
	err_code_t source_error;
} tree_t;

static err_code_t keep_node(void *user, const node_digest_t *digest,
			    str_t bytes)
{
	tree_t *tree = user;

	if (tree->count == MAX_NODES)
		return ERR_FULL;
	tree->digests[tree->count] = *digest;
	buf_append_str(&tree->nodes[tree->count++], bytes);
	return ERR_OK;
}

static err_code_t get_node(void *user, const node_digest_t *digest, buf_t *out,
			   err_t *err)
{
	tree_t *tree = user;

	for (size_t i = 0; i < tree->count; i++) {
		if (!memcmp(&tree->digests[i], digest, sizeof(*digest)) &&
		    !tree->source_error) {
			buf_append_str(out, buf_view(&tree->nodes[i]));
			return ERR_OK;
		}
	}
	return err_set(err,
		       tree->source_error ? tree->source_error : ERR_NOT_FOUND,
		       "test", "", "no such node");
}

static void pack_tree(tree_t *tree, const char *text)
{
	sheet_t *sheet = sheets_parse(str_from(text));
	node_digest_t root;
	err_t err;

	*tree = (tree_t){0};
	CU_ASSERT_EQUAL(node_pack(sheet, keep_node, tree, &root, &err), ERR_OK);
	CU_ASSERT(
		!memcmp(&root, &tree->digests[tree->count - 1], sizeof(root)));
	CU_ASSERT(!memcmp(&root, sheet->digest, sizeof(root)));
	sheet_free(sheet);
}

static void free_tree(tree_t *tree)
{
	for (size_t i = 0; i < tree->count; i++)
		buf_release(&tree->nodes[i]);
}

static void copy_tree(tree_t *copy, const tree_t *tree)
{
	*copy = (tree_t){.count = tree->count};
	for (size_t i = 0; i < tree->count; i++) {
		copy->digests[i] = tree->digests[i];
		buf_append_str(&copy->nodes[i], buf_view(&tree->nodes[i]));
	}
}

/* Recomputes the digest of a changed node and updates its ancestors, as a
 * faulty publisher would. */
static void redigest(tree_t *tree, size_t changed)
{
	for (size_t i = changed; i < tree->count; i++) {
		node_digest_t old = tree->digests[i];

		tree->digests[i] =
			node_compute_digest(buf_view(&tree->nodes[i]));
		for (size_t j = i + 1; j < tree->count; j++) {
			void *at =
				memmem(tree->nodes[j].ptr, tree->nodes[j].len,
				       &old, sizeof(old));

			if (at)
				memcpy(at, &tree->digests[i], sizeof(old));
		}
	}
}

static sheet_t *unpack_tree(tree_t *tree, err_t *err)
{
	return node_unpack(buf_view(&tree->nodes[tree->count - 1]), get_node,
			   tree, err);
}

static void expect_refused(tree_t *tree, err_code_t code)
{
	err_t err = {0};
	sheet_t *sheet = unpack_tree(tree, &err);

	CU_ASSERT_PTR_NULL(sheet);
	CU_ASSERT_EQUAL(err.code, code);
	sheet_free(sheet);
}

/* A field lost in packing or unpacking would differ between hosts that read
 * TOML and hosts that read nodes. */
static void test_round_trip(void)
{
	sheet_t *sheet = sheets_parse(str_from(sheets_valid));
	tree_t tree;
	sheet_t *copy;
	err_t err;

	pack_tree(&tree, sheets_valid);
	copy = unpack_tree(&tree, &err);
	CU_ASSERT_PTR_NOT_NULL(copy);
	if (!copy)
		return;
	CU_ASSERT(!memcmp(copy->digest, sheet->digest, SHEET_DIGEST_BYTES));
	CU_ASSERT_EQUAL(copy->version, 7);
	CU_ASSERT_EQUAL(copy->domains[0].plans[0].until_s,
			sheet->domains[0].plans[0].until_s);
	CU_ASSERT_EQUAL(copy->endpoints[0].cold_limit, 4);
	CU_ASSERT_FALSE(copy->pools[1].calls[0].repeatable);
	CU_ASSERT_EQUAL(copy->customer_count, 2);
	for (size_t i = 0; i < 2; i++) {
		const sheet_customer_t *c = sheet_find_customer(
			copy, sheet->customers[i].key_digest);

		CU_ASSERT_PTR_NOT_NULL(c);
		if (!c)
			break;
		CU_ASSERT(str_equals(c->name, sheet->customers[i].name));
		CU_ASSERT_EQUAL(c->weight, sheet->customers[i].weight);
	}
	CU_ASSERT_EQUAL(
		node_root_version(buf_view(&tree.nodes[tree.count - 1])), 7);
	sheet_free(copy);
	sheet_free(sheet);
	free_tree(&tree);
}

/* The order of customers in the TOML file has no meaning, so it must not make
 * two sheets of one version conflict. */
static void test_customer_order_is_canonical(void)
{
	const char *b = strstr(sheets_valid, "[[customer]]\nname = \"b\"");
	const char *a = strstr(sheets_valid, "[[customer]]\nname = \"a\"");
	buf_t swapped = BUF_INIT;
	sheet_t *first = sheets_parse(str_from(sheets_valid));
	sheet_t *second;

	buf_append(&swapped, sheets_valid, (size_t)(a - sheets_valid));
	buf_append_str(&swapped, str_from(b));
	buf_append(&swapped, a, (size_t)(b - a));
	second = sheets_parse(buf_view(&swapped));
	CU_ASSERT(!memcmp(first->digest, second->digest, SHEET_DIGEST_BYTES));
	sheet_free(first);
	sheet_free(second);
	buf_release(&swapped);
}

/* The digest check must detect a changed byte in any node. */
static void test_tampered_nodes(void)
{
	tree_t tree;

	pack_tree(&tree, sheets_valid);
	for (size_t i = 0; i + 1 < tree.count; i++) {
		tree.nodes[i].ptr[tree.nodes[i].len - 1] ^= 1;
		expect_refused(&tree, ERR_INVALID);
		tree.nodes[i].ptr[tree.nodes[i].len - 1] ^= 1;
	}
	tree.source_error = ERR_TIMEOUT;
	expect_refused(&tree, ERR_TIMEOUT);
	free_tree(&tree);
}

/* The decoder must refuse truncated nodes whose digests match. */
static void test_truncated_nodes(void)
{
	tree_t tree;
	tree_t cut;

	pack_tree(&tree, sheets_valid);
	for (size_t i = 0; i < tree.count; i++) {
		for (size_t len = 0; len < tree.nodes[i].len; len++) {
			copy_tree(&cut, &tree);
			cut.nodes[i].len = len;
			redigest(&cut, i);
			expect_refused(&cut, ERR_INVALID);
			free_tree(&cut);
		}
	}
	free_tree(&tree);
}

/* Replaces bytes in the first node that contains them and expects that the
 * sheet is refused. */
static void expect_change_refused(const tree_t *tree, str_t from, str_t to)
{
	tree_t changed;
	size_t i = 0;
	char *at = NULL;

	copy_tree(&changed, tree);
	for (; i < changed.count; i++) {
		at = memmem(changed.nodes[i].ptr, changed.nodes[i].len,
			    from.ptr, from.len);
		if (at)
			break;
	}
	CU_ASSERT_PTR_NOT_NULL(at);
	CU_ASSERT_EQUAL(from.len, to.len);
	if (!at || from.len != to.len)
		return;
	memcpy(at, to.ptr, to.len);
	redigest(&changed, i);
	expect_refused(&changed, ERR_INVALID);
	free_tree(&changed);
}

/* Well-formed nodes whose content breaks the sheet's rules must be refused:
 * hosts use indices and limits without checking them again. */
static void test_invalid_content(void)
{
	sheet_t *sheet = sheets_parse(str_from(sheets_valid));
	tree_t tree;

	pack_tree(&tree, sheets_valid);
	/* one key digest for two customers, so that a key is ambiguous */
	expect_change_refused(
		&tree,
		(str_t){(const char *)sheet->customers[0].key_digest,
			SHEET_DIGEST_BYTES},
		(str_t){(const char *)sheet->customers[1].key_digest,
			SHEET_DIGEST_BYTES});
	sheet_free(sheet);
	/* unknown key */
	expect_change_refused(&tree, STR_LIT("classes"), STR_LIT("clasess"));
	/* cold_limit 4 of 16 to 20 of 16 */
	expect_change_refused(&tree, STR_LIT("8000\x00\x04\x10"),
			      STR_LIT("8000\x00\x14\x10"));
	/* endpoint's domain 1 to 2, of 2 */
	expect_change_refused(&tree,
			      STR_LIT("\xa2"
				      "e2\x01"),
			      STR_LIT("\xa2"
				      "e2\x02"));
	/* endpoint name used twice */
	expect_change_refused(&tree,
			      STR_LIT("\xa2"
				      "e2"),
			      STR_LIT("\xa2"
				      "e1"));
	/* customer in the bucket of another name */
	expect_change_refused(&tree,
			      STR_LIT("\xa1"
				      "a"),
			      STR_LIT("\xa1"
				      "z"));
	/* a class of 9 fields announced as 8 */
	expect_change_refused(&tree,
			      STR_LIT("\x99\xa6"
				      "report"),
			      STR_LIT("\x98\xa6"
				      "report"));
	free_tree(&tree);
}

/* If one sheet had two encodings, it would have two digests and conflict with
 * itself. */
static void test_other_encoding(void)
{
	tree_t tree;
	buf_t *root;
	buf_t wide = BUF_INIT;
	char *at;

	pack_tree(&tree, sheets_valid);
	root = &tree.nodes[tree.count - 1];
	at = memmem(root->ptr, root->len, "version\x07", 8);
	CU_ASSERT_PTR_NOT_NULL(at);
	if (!at)
		return;
	buf_append(&wide, root->ptr, (size_t)(at - root->ptr) + 7);
	buf_append(&wide, "\xcc\x07", 2);
	buf_append(&wide, at + 8, root->len - (size_t)(at - root->ptr) - 8);
	CU_ASSERT_EQUAL(node_root_version(buf_view(&wide)), 7);
	buf_release(root);
	*root = wide;
	expect_refused(&tree, ERR_INVALID);
	free_tree(&tree);
}

/* Headers that announce more elements than there are bytes must be refused
 * before memory is reserved for them. */
static void test_announced_sizes(void)
{
	static const str_t roots[] = {
		{"\xdd\xff\xff\xff\xff", 5},
		{"\xdf\xff\xff\xff\xff", 5},
		{"\x81\xdb\xff\xff\xff\xff", 6},
		{"\x83\xdd\x7f\xff\xff\xff\xdd\x7f\xff\xff\xff", 11},
		{"\xc9\xff\xff\xff\xff\x01", 6},
		{"\xc1", 1},
		{"", 0},
		{NULL, 0}};

	for (size_t i = 0; i < sizeof(roots) / sizeof(roots[0]); i++) {
		err_t err = {0};

		CU_ASSERT_EQUAL(node_root_version(roots[i]), 0);
		CU_ASSERT_PTR_NULL(node_unpack(roots[i], get_node, NULL, &err));
		CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	}
}

/* Guards against a change of the key format, under which hosts store nodes and
 * look them up. */
static void test_node_key(void)
{
	node_digest_t digest = {{0x0a, 0xff}};
	char key[NODE_KEY_BYTES];

	node_format_key(&digest, key);
	CU_ASSERT_EQUAL(strlen(key), 11 + 64);
	CU_ASSERT(
		str_starts_with(str_from(key), STR_LIT("sheet/node/0aff0000")));
}

/* No node may crash the decoder, and what it accepts must be canonical. */
static void test_fuzz_nodes(void)
{
	static const char bytes[] = "\x00\x01\x7f\x80\x90\x9f\xa0\xc0\xc4\xc9"
				    "\xcf\xd9\xdc\xdd\xdf\xff";
	uint32_t seed = FUZZ_SEED;
	size_t accepted = 0;
	tree_t tree;

	pack_tree(&tree, sheets_valid);
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		size_t i = sheets_random(&seed) % tree.count;
		uint32_t changes = 1 + sheets_random(&seed) % 3;
		tree_t changed;
		sheet_t *sheet;

		copy_tree(&changed, &tree);
		while (changes--) {
			size_t at = sheets_random(&seed) % tree.nodes[i].len;

			changed.nodes[i].ptr[at] = bytes[sheets_random(&seed) %
							 (sizeof(bytes) - 1)];
		}
		redigest(&changed, i);
		sheet = unpack_tree(&changed, NULL);
		if (sheet &&
		    (sheet_find_fault(sheet) ||
		     memcmp(sheet->digest, &changed.digests[changed.count - 1],
			    SHEET_DIGEST_BYTES) != 0))
			CU_FAIL("accepted an invalid sheet");
		accepted += sheet != NULL;
		sheet_free(sheet);
		free_tree(&changed);
	}
	/* Both outcomes occur, so the mutations reach the content checks. */
	CU_ASSERT(accepted > 0 && accepted < FUZZ_ROUNDS);
	free_tree(&tree);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"round trip", test_round_trip},
		{"customer order", test_customer_order_is_canonical},
		{"tampered nodes", test_tampered_nodes},
		{"truncated nodes", test_truncated_nodes},
		{"invalid content", test_invalid_content},
		{"other encoding", test_other_encoding},
		{"announced sizes", test_announced_sizes},
		{"node key", test_node_key},
		{"fuzz nodes", test_fuzz_nodes},
		CU_TEST_INFO_NULL};

	return unit_run("node", tests);
}
