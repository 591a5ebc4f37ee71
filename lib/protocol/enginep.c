#include "protocol/enginep.h"

#include <assert.h>
#include <jansson.h>

#define STEP "endpoint-protocol"
#define BYTE_ORDER_MARK "\xef\xbb\xbf"

static const char *const state_names[] = {"cold", "warm", "leaving"};

static err_code_t refuse(err_t *err, const char *message)
{
	return err_set(err, ERR_INVALID, STEP, "", "%s", message);
}

static bool parse_id(str_t text, uint64_t *id)
{
	uint64_t value = 0;

	if (!text.len)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		uint64_t digit = (uint64_t)(text.ptr[i] - '0');

		if (text.ptr[i] < '0' || text.ptr[i] > '9' ||
		    value > (UINT64_MAX - digit) / 10)
			return false;
		value = value * 10 + digit;
	}
	*id = value;
	return true;
}

static err_code_t fail_stream(enginep_sse_t *sse, err_code_t code, err_t *err,
			      const char *message)
{
	sse->failed = code;
	return err_set(err, code, STEP, "", "%s", message);
}

static void clear_event(enginep_sse_t *sse)
{
	buf_reset(&sse->data);
	buf_reset(&sse->type);
	sse->has_id = false;
}

static err_code_t report_event(enginep_sse_t *sse, enginep_on_event_t on_event,
			       void *user, err_t *err)
{
	enginep_event_t event = {sse->has_id, sse->id, buf_view(&sse->type),
				 buf_view(&sse->data), false};

	if (!sse->data.len) { /* by the SSE standard no event */
		clear_event(sse);
		return ERR_OK;
	}
	if (sse->done)
		return fail_stream(sse, ERR_BAD_STATE, err,
				   "event after [DONE]");
	event.data.len--; /* the last line feed */
	event.done = str_equals(event.data, STR_LIT("[DONE]"));
	sse->done = event.done;
	if (on_event(user, &event))
		return fail_stream(sse, ERR_BAD_STATE, err,
				   "the receiver ended the stream");
	clear_event(sse);
	return ERR_OK;
}

static err_code_t take_field(enginep_sse_t *sse, str_t name, str_t value,
			     err_t *err)
{
	if (str_equals(name, STR_LIT("data"))) {
		buf_append_str(&sse->data, value);
		buf_append(&sse->data, "\n", 1);
	} else if (str_equals(name, STR_LIT("event"))) {
		buf_reset(&sse->type);
		buf_append_str(&sse->type, value);
	} else if (str_equals(name, STR_LIT("id"))) {
		if (!parse_id(value, &sse->id))
			return fail_stream(sse, ERR_INVALID, err,
					   "the event id is not a number");
		sse->has_id = true;
	}
	return ERR_OK;
}

static err_code_t take_line(enginep_sse_t *sse, enginep_on_event_t on_event,
			    void *user, err_t *err)
{
	str_t line = buf_view(&sse->line);
	str_t mark = STR_LIT(BYTE_ORDER_MARK);
	const char *colon;
	str_t name;
	str_t value = {"", 0};

	if (sse->first_line && str_starts_with(line, mark))
		line = (str_t){line.ptr + mark.len, line.len - mark.len};
	sse->first_line = false;
	if (!line.len)
		return report_event(sse, on_event, user, err);
	colon = memchr(line.ptr, ':', line.len);
	if (colon == line.ptr) /* a comment */
		return ERR_OK;
	name = colon ? (str_t){line.ptr, (size_t)(colon - line.ptr)} : line;
	if (colon)
		value = (str_t){colon + 1, line.len - name.len - 1};
	if (value.len && *value.ptr == ' ')
		value = (str_t){value.ptr + 1, value.len - 1};
	return take_field(sse, name, value, err);
}

static size_t find_line_end(str_t bytes)
{
	size_t i = 0;

	while (i < bytes.len && bytes.ptr[i] != '\n' && bytes.ptr[i] != '\r')
		i++;
	return i;
}

/* jansson's own limit is above 2,000 levels; each costs stack. */
static bool is_too_deep(str_t body)
{
	bool in_string = false;
	int depth = 0;

	for (size_t i = 0; i < body.len; i++) {
		char c = body.ptr[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == '[' || c == '{'))
			depth++;
		else if (!in_string && (c == ']' || c == '}'))
			depth--;
		if (depth > ENGINEP_MAX_DEPTH)
			return true;
	}
	return false;
}

/* RETURN VALUE: a JSON object, or NULL with `err` filled. */
static json_t *load_object(str_t body, err_t *err)
{
	json_error_t fault;
	json_t *root;

	if (is_too_deep(body)) {
		err_set(err, ERR_INVALID, STEP, "",
			"JSON is nested deeper than %d levels",
			ENGINEP_MAX_DEPTH);
		return NULL;
	}
	root = json_loadb(body.ptr ? body.ptr : "", body.len,
			  JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &fault);
	if (!root) {
		err_set(err, ERR_INVALID, STEP, "",
			"malformed JSON at line %d, column %d: %s", fault.line,
			fault.column, fault.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		refuse(err, "the body is not a JSON object");
		json_decref(root);
		return NULL;
	}
	return root;
}

static str_t view_string(const json_t *value)
{
	return (str_t){json_string_value(value), json_string_length(value)};
}

static void add_prompt(enginep_chat_t *chat, str_t text)
{
	size_t space = ENGINEP_PREFIX_BYTES - chat->prefix_len;
	size_t taken = text.len < space ? text.len : space;

	if (taken)
		memcpy(chat->prefix + chat->prefix_len, text.ptr, taken);
	chat->prefix_len += taken;
	chat->prompt_bytes += text.len;
}

/* Content is a string, null or an array of parts, of which text counts. */
static err_code_t add_content(enginep_chat_t *chat, const json_t *content,
			      err_t *err)
{
	size_t i;
	json_t *part;

	if (!content || json_is_null(content))
		return ERR_OK;
	if (json_is_string(content)) {
		add_prompt(chat, view_string(content));
		return ERR_OK;
	}
	if (!json_is_array(content))
		return refuse(err, "content of a message must be a string or "
				   "an array of parts");
	json_array_foreach(content, i, part)
	{
		json_t *text = json_object_get(part, "text");

		if (!json_is_object(part) || (text && !json_is_string(text)))
			return refuse(err, "a part of a message's content is "
					   "malformed");
		if (text)
			add_prompt(chat, view_string(text));
	}
	return ERR_OK;
}

static err_code_t read_messages(const json_t *root, enginep_chat_t *chat,
				err_t *err)
{
	const json_t *messages = json_object_get(root, "messages");
	size_t i;
	json_t *message;

	if (!json_is_array(messages) || !json_array_size(messages))
		return refuse(err, "messages must be an array with at least "
				   "one message");
	json_array_foreach(messages, i, message)
	{
		const json_t *role = json_object_get(message, "role");
		err_code_t code;

		if (!json_is_string(role))
			return refuse(err, "each message must be an object "
					   "with a role");
		add_prompt(chat, view_string(role));
		add_prompt(chat, STR_LIT("\n"));
		code = add_content(chat, json_object_get(message, "content"),
				   err);
		if (code)
			return code;
		add_prompt(chat, STR_LIT("\n"));
	}
	chat->prompt_tokens =
		(int64_t)(chat->prompt_bytes / ENGINEP_BYTES_PER_TOKEN) + 1;
	return ERR_OK;
}

/* A missing or null count gives 0. */
static err_code_t read_tokens(const json_t *root, const char *key,
			      int64_t *tokens, err_t *err)
{
	const json_t *value = json_object_get(root, key);

	*tokens = 0;
	if (!value || json_is_null(value))
		return ERR_OK;
	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > ENGINEP_MAX_TOKENS)
		return err_set(err, ERR_INVALID, STEP, "",
			       "%s must be an integer from 1 to %d", key,
			       ENGINEP_MAX_TOKENS);
	*tokens = json_integer_value(value);
	return ERR_OK;
}

/* The lower of max_tokens and max_completion_tokens; 0 without either. */
static err_code_t read_output_bound(const json_t *root, int64_t *tokens,
				    err_t *err)
{
	int64_t other;
	err_code_t code = read_tokens(root, "max_tokens", tokens, err);

	if (!code)
		code = read_tokens(root, "max_completion_tokens", &other, err);
	if (!code && other && (!*tokens || other < *tokens))
		*tokens = other;
	return code;
}

static bool read_model(const json_t *root, enginep_chat_t *chat)
{
	str_t model = view_string(json_object_get(root, "model"));

	return model.len && !memchr(model.ptr, '\0', model.len) &&
	       str_copy(chat->model, sizeof(chat->model), model);
}

static err_code_t read_chat(const json_t *root, enginep_chat_t *chat,
			    err_t *err)
{
	const json_t *model = json_object_get(root, "model");
	const json_t *stream = json_object_get(root, "stream");
	err_code_t code;

	if (!model)
		return refuse(err, "model is missing");
	if (!read_model(root, chat))
		return err_set(err, ERR_INVALID, STEP, "",
			       "model must be a string of 1 to %d bytes",
			       ENGINEP_MODEL_BYTES - 1);
	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return refuse(err, "stream must be true or false");
	chat->stream = json_is_true(stream);
	code = read_output_bound(root, &chat->max_tokens, err);
	return code ? code : read_messages(root, chat, err);
}

static bool read_count(const json_t *root, const char *key, int64_t max,
		       int64_t *out)
{
	const json_t *value = json_object_get(root, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > max)
		return false;
	*out = json_integer_value(value);
	return true;
}

/* The boot id goes into log lines, so that only printable ASCII is allowed. */
static bool read_boot(const json_t *root, char *boot)
{
	str_t text = view_string(json_object_get(root, "boot"));

	for (size_t i = 0; i < text.len; i++)
		if (text.ptr[i] <= ' ' || text.ptr[i] > '~')
			return false;
	return text.len && str_copy(boot, ENGINEP_BOOT_BYTES, text);
}

static bool read_state(const json_t *root, enginep_state_t *state)
{
	str_t name = view_string(json_object_get(root, "state"));

	for (int i = ENGINEP_COLD; i <= ENGINEP_LEAVING; i++) {
		if (str_equals(name, str_from(state_names[i]))) {
			*state = (enginep_state_t)i;
			return true;
		}
	}
	return false;
}

static err_code_t read_report(const json_t *root, enginep_report_t *report,
			      err_t *err)
{
	int64_t running;
	int64_t waiting;

	if (!read_boot(root, report->boot))
		return refuse(err, "boot must be 1 to 64 printable characters");
	if (!read_state(root, &report->state))
		return refuse(err, "state must be cold, warm or leaving");
	if (!read_count(root, "running", ENGINEP_MAX_REQUESTS, &running) ||
	    !read_count(root, "waiting", ENGINEP_MAX_REQUESTS, &waiting))
		return refuse(err, "running or waiting is out of range");
	if (!read_count(root, "age_ms", ENGINEP_MAX_AGE_MS, &report->age_ms))
		return refuse(err, "age_ms is out of range");
	report->running = (unsigned)running;
	report->waiting = (unsigned)waiting;
	return ERR_OK;
}

static err_code_t set_fields(json_t *root, const enginep_request_t *request,
			     err_t *err)
{
	int64_t tokens;
	err_code_t code = read_output_bound(root, &tokens, err);

	if (code)
		return code;
	if (!tokens || tokens > request->max_tokens)
		tokens = request->max_tokens;
	if (json_is_integer(json_object_get(root, "max_completion_tokens")))
		json_object_set_new(root, "max_completion_tokens",
				    json_integer(tokens));
	json_object_set_new(root, "max_tokens", json_integer(tokens));
	json_object_set_new(root, "priority", json_integer(request->priority));
	json_object_set_new(root, "timeout_ms",
			    json_integer(request->timeout_ms));
	/* A stream shows the first token and can be resumed, so engines are
	 * asked for one whatever the caller wants. */
	json_object_set_new(root, "stream", json_true());
	if (json_object_set_new(root, "request_id",
				json_stringn(request->request_id.ptr,
					     request->request_id.len)))
		return refuse(err, "the request id is not UTF-8");
	return ERR_OK;
}

static int append_json(const char *bytes, size_t len, void *out)
{
	buf_append(out, bytes, len);
	return 0;
}

void enginep_sse_init(enginep_sse_t *sse)
{
	*sse = (enginep_sse_t){.first_line = true};
}

void enginep_sse_release(enginep_sse_t *sse)
{
	buf_release(&sse->line);
	buf_release(&sse->data);
	buf_release(&sse->type);
}

err_code_t enginep_sse_feed(enginep_sse_t *sse, str_t bytes,
			    enginep_on_event_t on_event, void *user, err_t *err)
{
	if (sse->failed)
		return fail_stream(sse, sse->failed, err,
				   "the stream has failed before");
	while (bytes.len) {
		size_t len;

		if (sse->after_cr && *bytes.ptr == '\n')
			bytes = (str_t){bytes.ptr + 1, bytes.len - 1};
		sse->after_cr = false;
		len = find_line_end(bytes);
		if (sse->line.len + sse->data.len + len >
		    ENGINEP_MAX_EVENT_BYTES)
			return fail_stream(sse, ERR_TOO_LARGE, err,
					   "an event is above the size limit");
		buf_append(&sse->line, bytes.ptr, len);
		if (len == bytes.len)
			break;
		sse->after_cr = bytes.ptr[len] == '\r';
		bytes = (str_t){bytes.ptr + len + 1, bytes.len - len - 1};
		if (take_line(sse, on_event, user, err))
			return sse->failed;
		buf_reset(&sse->line);
	}
	return ERR_OK;
}

bool enginep_sse_is_done(const enginep_sse_t *sse)
{
	return sse->done && !sse->failed;
}

void enginep_sse_format(buf_t *out, const enginep_event_t *event)
{
	str_t rest = event->data;

	if (event->has_id)
		buf_printf(out, "id: %llu\n", (unsigned long long)event->id);
	if (event->type.len)
		buf_printf(out, "event: %" STR_FMT "\n", STR_ARG(event->type));
	for (;;) {
		size_t len = find_line_end(rest);

		buf_append(out, "data: ", 6);
		buf_append(out, rest.ptr, len);
		buf_append(out, "\n", 1);
		if (len == rest.len)
			break;
		rest = (str_t){rest.ptr + len + 1, rest.len - len - 1};
	}
	buf_append(out, "\n", 1);
}

err_code_t enginep_parse_chat(str_t body, enginep_chat_t *chat, err_t *err)
{
	json_t *root = load_object(body, err);
	err_code_t code;

	if (!root)
		return ERR_INVALID;
	memset(chat, 0, sizeof(*chat));
	code = read_chat(root, chat, err);
	json_decref(root);
	return code;
}

err_code_t enginep_build_request(str_t body, const enginep_request_t *request,
				 buf_t *out, err_t *err)
{
	json_t *root = load_object(body, err);
	err_code_t code;

	assert(request->max_tokens > 0);
	if (!root)
		return ERR_INVALID;
	code = set_fields(root, request, err);
	if (!code && json_dump_callback(root, append_json, out, JSON_COMPACT))
		code = refuse(err, "the body can't be written as JSON");
	json_decref(root);
	return code;
}

err_code_t enginep_parse_report(str_t body, enginep_report_t *report,
				err_t *err)
{
	json_t *root = load_object(body, err);
	enginep_report_t parsed;
	err_code_t code;

	if (!root)
		return ERR_INVALID;
	code = read_report(root, &parsed, err);
	if (!code)
		*report = parsed;
	json_decref(root);
	return code;
}
