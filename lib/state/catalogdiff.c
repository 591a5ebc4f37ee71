#include "state/catalogcheck.h"

#include <inttypes.h>
#include <stdlib.h>

/* One kind of named entry. `describe` appends a line for each value. */
typedef struct section {
	const char *kind;
	size_t (*count)(const catalog_t *catalog);
	str_t (*name)(const catalog_t *catalog, size_t index);
	void (*describe)(const catalog_t *catalog, size_t index, buf_t *out);
} section_t;

static void describe_regions(const catalog_regions_t *regions, buf_t *out)
{
	buf_printf(out, "regions");
	for (size_t i = 0; i < regions->count; i++)
		buf_printf(out, " %" STR_FMT, STR_ARG(regions->names[i]));
	buf_printf(out, "%s\n", regions->count ? "" : " all");
}

static str_t get_route_name(const catalog_t *catalog, size_t index)
{
	return catalog_get_route(catalog, index)->name;
}

static void describe_route(const catalog_t *catalog, size_t index, buf_t *out)
{
	static const char *const kinds[] = {"idempotent", "at most once",
					    "stream"};
	const catalog_route_t *route = catalog_get_route(catalog, index);

	buf_printf(out, "host %" STR_FMT "\nprefix %" STR_FMT "\nkind %s\n",
		   STR_ARG(route->host), STR_ARG(route->prefix),
		   kinds[route->kind]);
	buf_printf(out, "resumable %d\npublic %d\naffinity %d\n",
		   route->resumable, route->is_public, route->affinity);
	buf_printf(out, "timeout_ms %u\ntarget_ms %u\nallowed_pause_ms %u\n",
		   route->timeout_ms, route->target_ms,
		   route->event_gap_target_ms);
	buf_printf(out, "priority %u\nattempts %u\nservices", route->priority,
		   route->max_attempts);
	for (size_t i = 0; i < route->split_count; i++)
		buf_printf(out, " %" STR_FMT ":%u",
			   STR_ARG(route->splits[i].service),
			   route->splits[i].weight);
	buf_printf(out, "\n");
	describe_regions(&route->regions, out);
}

static str_t get_service_name(const catalog_t *catalog, size_t index)
{
	return catalog_get_service(catalog, index)->name;
}

static void describe_service(const catalog_t *catalog, size_t index, buf_t *out)
{
	const catalog_service_t *service = catalog_get_service(catalog, index);

	buf_printf(out, "health_path %" STR_FMT "\n",
		   STR_ARG(service->health_path));
	buf_printf(out, "connections %u\nslots %u\ncopies_kv_cache %d\n",
		   service->max_connections, service->slots,
		   service->copies_kv_cache);
	buf_printf(out, "cold_ms %" PRId64 "\ncold_per_s %g\n",
		   service->cold_ms, service->cold_per_s);
}

static str_t get_customer_name(const catalog_t *catalog, size_t index)
{
	return catalog_get_customer(catalog, index)->name;
}

static void describe_customer(const catalog_t *catalog, size_t index,
			      buf_t *out)
{
	const catalog_customer_t *customer =
		catalog_get_customer(catalog, index);

	if (customer->has_priority)
		buf_printf(out, "priority %u\n", customer->priority);
	else
		buf_printf(out, "priority of the route\n");
	describe_regions(&customer->regions, out);
}

static const section_t sections[] = {
	{"route", catalog_route_count, get_route_name, describe_route},
	{"service", catalog_service_count, get_service_name, describe_service},
	{"customer", catalog_customer_count, get_customer_name,
	 describe_customer},
};

/* Looks at `place` first.
 *
 * RETURN VALUE: the position of the entry, or the count without one. */
static size_t find(const section_t *section, const catalog_t *catalog,
		   str_t name, size_t place)
{
	size_t count = section->count(catalog);
	size_t i = 0;

	/* Most entries keep their order. */
	if (place < count && str_equals(section->name(catalog, place), name))
		return place;
	while (i < count && !str_equals(section->name(catalog, i), name))
		i++;
	return i;
}

static str_t take_line(str_t *text)
{
	const char *end = memchr(text->ptr, '\n', text->len);
	str_t line = {text->ptr, (size_t)(end - text->ptr)};

	*text = (str_t){end + 1, text->len - line.len - 1};
	return line;
}

/* Both descriptions have the same number of lines. */
static void compare_lines(const section_t *section, str_t name, str_t before,
			  str_t after, buf_t *out)
{
	while (after.len) {
		str_t old_line = take_line(&before);
		str_t new_line = take_line(&after);

		if (!str_equals(old_line, new_line))
			buf_printf(out,
				   "%s %" STR_FMT ": %" STR_FMT " -> %" STR_FMT
				   "\n",
				   section->kind, STR_ARG(name),
				   STR_ARG(old_line), STR_ARG(new_line));
	}
}

static void list_removed(const section_t *section, const catalog_t *in_force,
			 const catalog_t *catalog, buf_t *out)
{
	size_t place = 0;

	for (size_t i = 0; i < section->count(in_force); i++) {
		str_t name = section->name(in_force, i);
		size_t found = find(section, catalog, name, place);

		if (found < section->count(catalog))
			place = found + 1;
		else
			buf_printf(out, "%s %" STR_FMT ": removed\n",
				   section->kind, STR_ARG(name));
	}
}

static void compare_entry(const section_t *section, const catalog_t *in_force,
			  size_t old, const catalog_t *catalog, size_t new,
			  buf_t *out)
{
	buf_t before = BUF_INIT, after = BUF_INIT;

	section->describe(in_force, old, &before);
	section->describe(catalog, new, &after);
	compare_lines(section, section->name(catalog, new), buf_view(&before),
		      buf_view(&after), out);
	buf_release(&before);
	buf_release(&after);
}

static void compare_section(const section_t *section, const catalog_t *in_force,
			    const catalog_t *catalog, buf_t *out)
{
	size_t place = 0;

	list_removed(section, in_force, catalog, out);
	for (size_t i = 0; i < section->count(catalog); i++) {
		str_t name = section->name(catalog, i);
		size_t found = find(section, in_force, name, place);

		if (found == section->count(in_force)) {
			buf_printf(out, "%s %" STR_FMT ": added\n",
				   section->kind, STR_ARG(name));
			continue;
		}
		compare_entry(section, in_force, found, catalog, i, out);
		place = found + 1;
	}
}

/* Appends how many keys each customer of `from` has that one of the same name
 * in `to` lacks. */
static void compare_keys(const catalog_t *from, const catalog_t *to,
			 const char *change, buf_t *out)
{
	size_t count = catalog_customer_count(from);
	size_t *keys = calloc(count + 1, sizeof(*keys));

	if (!keys)
		abort();
	for (size_t i = 0; i < catalog_key_count(from); i++) {
		const catalog_customer_t *owner, *other;

		other = catalog_find_customer(to,
					      catalog_get_key(from, i, &owner));
		if (!other || !str_equals(other->name, owner->name))
			keys[owner - catalog_get_customer(from, 0)]++;
	}
	for (size_t i = 0; i < count; i++)
		if (keys[i])
			buf_printf(out, "customer %" STR_FMT ": %zu keys %s\n",
				   STR_ARG(catalog_get_customer(from, i)->name),
				   keys[i], change);
	free(keys);
}

static void compare_limits(const catalog_limits_t *before,
			   const catalog_limits_t *after, buf_t *out)
{
	if (before->head_bytes != after->head_bytes)
		buf_printf(out, "limits: head_bytes %zu -> %zu\n",
			   before->head_bytes, after->head_bytes);
	if (before->body_bytes != after->body_bytes)
		buf_printf(out, "limits: body_bytes %zu -> %zu\n",
			   before->body_bytes, after->body_bytes);
	if (before->head_timeout_ms != after->head_timeout_ms)
		buf_printf(out, "limits: head_timeout_ms %u -> %u\n",
			   before->head_timeout_ms, after->head_timeout_ms);
	if (before->idle_timeout_ms != after->idle_timeout_ms)
		buf_printf(out, "limits: idle_timeout_ms %u -> %u\n",
			   before->idle_timeout_ms, after->idle_timeout_ms);
}

void catalogcheck_compare(const catalog_t *in_force, const catalog_t *catalog,
			  buf_t *out, catalogcheck_result_t *result)
{
	if (catalog_version(catalog) <= catalog_version(in_force)) {
		result->errors++;
		buf_printf(out,
			   "error: version %" PRId64 ": is not above %" PRId64
			   ", which is in force\n",
			   catalog_version(catalog), catalog_version(in_force));
	}
	for (size_t i = 0; i < sizeof(sections) / sizeof(*sections); i++)
		compare_section(&sections[i], in_force, catalog, out);
	compare_keys(in_force, catalog, "removed", out);
	compare_keys(catalog, in_force, "added", out);
	compare_limits(catalog_get_limits(in_force),
		       catalog_get_limits(catalog), out);
}
