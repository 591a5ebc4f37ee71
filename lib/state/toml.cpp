#include "state/toml.h"

#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

#include <cstdio>
#include <exception>
#include <new>
#include <string_view>

struct toml_doc {
	toml::table root;
};

static const toml::node *to_node(const toml_node_t *node)
{
	return reinterpret_cast<const toml::node *>(node);
}

static const toml_node_t *from_node(const toml::node *node)
{
	return reinterpret_cast<const toml_node_t *>(node);
}

/* Days from 1970-01-01 in the proleptic Gregorian calendar. */
static int64_t count_days(int64_t year, unsigned month, unsigned day)
{
	int64_t y = month <= 2 ? year - 1 : year;
	int64_t era = (y >= 0 ? y : y - 399) / 400;
	int64_t year_of_era = y - era * 400;
	int64_t day_of_year =
		(153 * (month > 2 ? month - 3 : month + 9) + 2) / 5 + day - 1;

	return era * 146097 + year_of_era * 365 + year_of_era / 4 -
	       year_of_era / 100 + day_of_year - 719468;
}

toml_doc_t *toml_read(str_t text, unsigned *line, char *message,
		      size_t message_bytes)
{
	*line = 0;
	try {
		return new toml_doc{
			toml::parse(std::string_view(text.ptr, text.len))};
	} catch (const toml::parse_error &e) {
		*line = e.source().begin.line;
		snprintf(message, message_bytes, "%.*s",
			 (int)e.description().size(), e.description().data());
	} catch (const std::exception &e) {
		snprintf(message, message_bytes, "%s", e.what());
	} catch (...) {
		snprintf(message, message_bytes, "unknown parser error");
	}
	return nullptr;
}

void toml_free(toml_doc_t *doc)
{
	delete doc;
}

const toml_node_t *toml_root(const toml_doc_t *doc)
{
	return from_node(&doc->root);
}

toml_type_t toml_type_of(const toml_node_t *node)
{
	switch (to_node(node)->type()) {
	case toml::node_type::table:
		return TOML_TABLE;
	case toml::node_type::array:
		return TOML_ARRAY;
	case toml::node_type::string:
		return TOML_STRING;
	case toml::node_type::integer:
		return TOML_INTEGER;
	case toml::node_type::floating_point:
		return TOML_FLOAT;
	case toml::node_type::boolean:
		return TOML_BOOLEAN;
	case toml::node_type::date_time:
		if (to_node(node)->as_date_time()->get().offset)
			return TOML_DATE_TIME;
		return TOML_LOCAL_TIME;
	default:
		return TOML_LOCAL_TIME;
	}
}

unsigned toml_line_of(const toml_node_t *node)
{
	return to_node(node)->source().begin.line;
}

const toml_node_t *toml_table_get(const toml_node_t *table, str_t key)
{
	const toml::table *t = to_node(table)->as_table();

	if (!t)
		return nullptr;
	try {
		return from_node(t->get(std::string_view(key.ptr, key.len)));
	} catch (...) {
		return nullptr;
	}
}

void toml_table_each(const toml_node_t *table,
		     void (*visit)(void *user, str_t key, unsigned line),
		     void *user)
{
	const toml::table *t = to_node(table)->as_table();

	if (!t)
		return;
	for (auto it = t->cbegin(); it != t->cend(); ++it) {
		const toml::key &key = it->first;

		visit(user, str_t{key.data(), key.length()},
		      key.source().begin.line);
	}
}

size_t toml_array_size(const toml_node_t *array)
{
	const toml::array *a = to_node(array)->as_array();

	return a ? a->size() : 0;
}

const toml_node_t *toml_array_at(const toml_node_t *array, size_t i)
{
	const toml::array *a = to_node(array)->as_array();

	return a ? from_node(a->get(i)) : nullptr;
}

bool toml_get_string(const toml_node_t *node, str_t *value)
{
	const auto *v = to_node(node)->as_string();

	if (!v)
		return false;
	*value = str_t{v->get().data(), v->get().size()};
	return true;
}

bool toml_get_int(const toml_node_t *node, int64_t *value)
{
	const auto *v = to_node(node)->as_integer();

	if (!v)
		return false;
	*value = v->get();
	return true;
}

bool toml_get_bool(const toml_node_t *node, bool *value)
{
	const auto *v = to_node(node)->as_boolean();

	if (!v)
		return false;
	*value = v->get();
	return true;
}

bool toml_get_unix_s(const toml_node_t *node, int64_t *value)
{
	const auto *v = to_node(node)->as_date_time();

	if (!v || !v->get().offset)
		return false;
	const toml::date_time &t = v->get();
	*value = count_days(t.date.year, t.date.month, t.date.day) * 86400 +
		 t.time.hour * 3600 + t.time.minute * 60 + t.time.second -
		 t.offset->minutes * 60;
	return true;
}
