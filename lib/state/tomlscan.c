#include "state/tomlscan.h"

static const char *scan_line(str_t line)
{
	char quote = '\0';
	unsigned dots = 0;

	for (size_t i = 0; i < line.len; i++) {
		char c = line.ptr[i];

		if (quote) {
			if (c == '\\' && quote == '"')
				i++;
			else if (c == quote)
				quote = '\0';
			continue;
		}
		if (c == '#')
			break;
		if (c == '.' && ++dots > TOMLSCAN_MAX_DOTS_PER_LINE)
			return "expected at most 16 dots outside strings in a "
			       "line";
		if (c != '"' && c != '\'')
			continue;
		if (i + 2 < line.len && line.ptr[i + 1] == c &&
		    line.ptr[i + 2] == c)
			return "expected no multi-line string";
		quote = c;
	}
	return NULL;
}

const char *tomlscan_text(str_t text, unsigned *line)
{
	*line = 1;
	for (size_t start = 0; start < text.len; ++*line) {
		const char *newline =
			memchr(text.ptr + start, '\n', text.len - start);
		size_t end = newline ? (size_t)(newline - text.ptr) : text.len;
		const char *fault =
			scan_line((str_t){text.ptr + start, end - start});

		if (fault)
			return fault;
		start = end + 1;
	}
	return NULL;
}
