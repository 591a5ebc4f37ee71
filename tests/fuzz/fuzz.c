/*
 * Feeds parsers with mutated inputs from a fixed corpus.
 *
 * Usage: fuzz CORPUS_DIR SEED ROUNDS [TARGET...]
 * Each target first gets every file of CORPUS_DIR/TARGET as it is, then ROUNDS
 * mutations derived from the seed. Build it with sanitizers (make fuzz), which
 * end the process at a fault. To reproduce a fault, the target, the seed and
 * the number of rounds are printed before each target, and ./fuzz-input holds
 * the mutated input while it is parsed.
 */
#include "fuzz.h"

#include <assert.h>
#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_INPUT_BYTES 65536
#define MAX_FILES 64
#define MAX_MUTATIONS 8
#define INPUT_FILE "fuzz-input"

typedef struct corpus {
	buf_t files[MAX_FILES];
	size_t count;
} corpus_t;

void fuzz_require(bool condition, const char *what)
{
	if (condition)
		return;
	fprintf(stderr, "violated: %s\n", what);
	abort();
}

/* xorshift64* */
static uint64_t next_random(uint64_t *state)
{
	*state ^= *state >> 12;
	*state ^= *state << 25;
	*state ^= *state >> 27;
	return *state * 0x2545f4914f6cdd1dull;
}

static void read_file(const char *path, buf_t *out)
{
	FILE *stream = fopen(path, "rb");
	char block[4096];
	size_t len;

	if (!stream) {
		perror(path);
		exit(1);
	}
	while ((len = fread(block, 1, sizeof(block), stream)) > 0)
		buf_append(out, block, len);
	fclose(stream);
}

static int compare_names(const struct dirent **a, const struct dirent **b)
{
	return strcmp((*a)->d_name, (*b)->d_name);
}

static int is_visible(const struct dirent *entry)
{
	return entry->d_name[0] != '.';
}

/* Reads the files in order of their names, so that a seed reproduces a run. */
static void read_corpus(const char *dir, const char *target, corpus_t *corpus)
{
	struct dirent **entries;
	char path[4096];
	int count;

	snprintf(path, sizeof(path), "%s/%s", dir, target);
	count = scandir(path, &entries, is_visible, compare_names);
	if (count <= 0) {
		fprintf(stderr, "%s: no corpus\n", path);
		exit(1);
	}
	for (int i = 0; i < count; i++) {
		snprintf(path, sizeof(path), "%s/%s/%s", dir, target,
			 entries[i]->d_name);
		if (corpus->count < MAX_FILES)
			read_file(path, &corpus->files[corpus->count++]);
		free(entries[i]);
	}
	free(entries);
}

static void release_corpus(corpus_t *corpus)
{
	for (size_t i = 0; i < corpus->count; i++)
		buf_release(&corpus->files[i]);
}

/* Inserts a random part of `from` into the input at a random offset. */
static void splice(buf_t *input, const buf_t *from, uint64_t *state)
{
	size_t at = input->len ? next_random(state) % input->len : 0;
	size_t start = from->len ? next_random(state) % from->len : 0;
	size_t len = from->len > start ?
			     next_random(state) % (from->len - start) :
			     0;
	buf_t result = BUF_INIT;

	buf_append(&result, input->ptr, at);
	if (len)
		buf_append(&result, from->ptr + start, len);
	if (input->len > at)
		buf_append(&result, input->ptr + at, input->len - at);
	buf_release(input);
	*input = result;
}

static void mutate(buf_t *input, const corpus_t *corpus, uint64_t *state)
{
	static const char *const tokens[] = {
		"\r\n",	    "0",  "-1",		":",
		"{",	    "]",  "\"",		"\\",
		"\xff\xff", "\0", "4294967296", "18446744073709551616"};
	const char *token = tokens[next_random(state) %
				   (sizeof(tokens) / sizeof(tokens[0]))];
	size_t at = input->len ? next_random(state) % input->len : 0;

	switch (next_random(state) % 6) {
	case 0: /* flip a bit */
		if (input->len)
			input->ptr[at] ^= (char)(1 << next_random(state) % 8);
		return;
	case 1: /* change a byte */
		if (input->len)
			input->ptr[at] = (char)next_random(state);
		return;
	case 2: /* truncate */
		input->len = at;
		return;
	case 3: /* remove a byte */
		if (input->len) {
			memmove(input->ptr + at, input->ptr + at + 1,
				input->len - at - 1);
			input->len--;
		}
		return;
	case 4: /* insert a part of a corpus file */
		splice(input,
		       &corpus->files[next_random(state) % corpus->count],
		       state);
		return;
	default: { /* insert a token that parsers treat specially */
		buf_t from = BUF_INIT;

		buf_append(&from, token, strlen(token) + 1);
		splice(input, &from, state);
		buf_release(&from);
	}
	}
}

static void save_input(const buf_t *input)
{
	FILE *stream = fopen(INPUT_FILE, "wb");

	if (!stream)
		return;
	if (input->len)
		fwrite(input->ptr, 1, input->len, stream);
	fclose(stream);
}

/* Passes the input in a heap block of exactly its size, so that the address
 * sanitizer detects a read beyond it. */
static void run_input(const fuzz_target_t *target, const buf_t *input,
		      uint64_t *state)
{
	char *exact = malloc(input->len ? input->len : 1);

	if (!exact)
		abort();
	if (input->len)
		memcpy(exact, input->ptr, input->len);
	target->run((str_t){exact, input->len}, next_random(state));
	free(exact);
}

static void run_target(const fuzz_target_t *target, const char *dir,
		       uint64_t seed, unsigned rounds)
{
	corpus_t corpus = {.count = 0};
	uint64_t state = seed | 1;

	printf("fuzz %s: seed %llu, %u rounds\n", target->name,
	       (unsigned long long)seed, rounds);
	fflush(stdout);
	read_corpus(dir, target->name, &corpus);
	assert(corpus.count); /* read_corpus() ends the program otherwise */
	for (size_t i = 0; i < corpus.count; i++)
		run_input(target, &corpus.files[i], &state);
	for (unsigned i = 0; i < rounds; i++) {
		const buf_t *from =
			&corpus.files[next_random(&state) % corpus.count];
		buf_t input = BUF_INIT;

		buf_append_str(&input, buf_view(from));
		for (uint64_t n = 1 + next_random(&state) % MAX_MUTATIONS; n;
		     n--)
			mutate(&input, &corpus, &state);
		if (input.len > MAX_INPUT_BYTES)
			input.len = MAX_INPUT_BYTES;
		save_input(&input);
		run_input(target, &input, &state);
		buf_release(&input);
	}
	remove(INPUT_FILE);
	release_corpus(&corpus);
}

static bool is_selected(const char *name, char **names, int count)
{
	for (int i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return true;
	return !count;
}

int main(int argc, char **argv)
{
	if (argc < 4) {
		fprintf(stderr, "usage: fuzz CORPUS_DIR SEED ROUNDS "
				"[TARGET...]\n");
		return 2;
	}
	for (const fuzz_target_t *target = fuzz_targets; target->name; target++)
		if (is_selected(target->name, argv + 4, argc - 4))
			run_target(target, argv[1], strtoull(argv[2], NULL, 10),
				   (unsigned)strtoul(argv[3], NULL, 10));
	return 0;
}
