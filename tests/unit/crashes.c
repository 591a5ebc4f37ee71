#include "crashes.h"

#include <string.h>

crashboard_t *create_board(void)
{
	crashboard_t *board = crashboard_create();

	crashboard_set_host(board, HOST_A, SETTLE_MS);
	return board;
}

void report_inputs(crashboard_t *board, uint32_t host, uint64_t process,
		   int64_t at_ms, const uint64_t *inputs, size_t count)
{
	crash_report_t report = {.process = process,
				 .at_ms = at_ms,
				 .reporters = {host},
				 .reporter_count = 1,
				 .input_count = count};

	memcpy(report.inputs, inputs, count * sizeof(*inputs));
	crashboard_add(board, &report);
}

bool blocks(const crashboard_t *board, const uint64_t *inputs, size_t count)
{
	return crashboard_find(board, inputs, count) != NULL;
}

bool blocks_input(const crashboard_t *board, uint64_t input)
{
	return blocks(board, &input, 1);
}

int64_t crash_in_turn(crashboard_t *board, unsigned count, int64_t from_ms,
		      const uint64_t *inputs, size_t input_count)
{
	int64_t at_ms = from_ms;

	for (unsigned i = 0; i < count; i++, at_ms += STEP_MS)
		report_inputs(board, i % 2 ? HOST_B : HOST_A, (uint64_t)at_ms,
			      at_ms, inputs, input_count);
	crashboard_update(board, at_ms);
	return at_ms;
}
