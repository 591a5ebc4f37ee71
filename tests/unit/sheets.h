#ifndef SHEETS_H
#define SHEETS_H

#include "base/buf.h"
#include "state/node.h"
#include "state/sheet.h"

/*
 * sheets - sheet texts and helpers for the tests of sheets
 */
#define SHEETS_KEY_A \
	"5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"
#define SHEETS_KEY_B \
	"6b86b273ff34fce19d6b804eff5a3f5747ada4eaa22f1d49c01e52ddb7875b4b"

/* The valid sheet that the tests modify; each line ends in a newline. */
extern const char sheets_valid[];

/* Parses a text that must be valid; ends the test program otherwise. The caller
 * frees the result. */
sheet_t *sheets_parse(str_t text);

/* RETURN VALUE: a copy of the text with the first `from`, which must occur,
 * replaced by `to`; the caller frees it. */
char *sheets_replace(const char *text, const char *from, const char *to);

/* A change that makes a valid text invalid, and the exact report expected for
 * it. */
typedef struct sheets_fault {
	const char *from;
	const char *to;
	const char *report;
} sheets_fault_t;

/* Checks that `accepts` rejects each faulty text with the expected report. */
void sheets_check_faults(const char *text, const sheets_fault_t *faults,
			 size_t count,
			 bool (*accepts)(str_t text, buf_t *report));

/* Next number of a pseudorandom sequence (xorshift), so that mutations are
 * reproducible. `seed` must not be 0. */
uint32_t sheets_random(uint32_t *seed);

/* Callbacks that write nodes to a replica and read them from it. */
err_code_t sheets_put_node(void *replica, const node_digest_t *digest,
			   str_t bytes);
err_code_t sheets_get_node(void *replica, const node_digest_t *digest,
			   buf_t *out, err_t *err);

/* Appends the content of a file to `out`; ends the test program when the file
 * can't be opened. */
void sheets_read_file(const char *path, buf_t *out);

#endif
