#include "protocol/chat.h"

#include <jansson.h>
#include <stdlib.h>
#include <xxhash.h>

#define STEP "read-chat"

static err_code_t reject(err_t *err, const char *message)
{
	return err_set(err, ERR_INVALID, STEP, "", "%s", message);
}

/* jansson's own limit is above 2,000 levels, and each level uses stack. */
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
		if (depth > CHAT_MAX_DEPTH)
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
			"JSON is nested deeper than %d levels", CHAT_MAX_DEPTH);
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
		reject(err, "the body is not a JSON object");
		json_decref(root);
		return NULL;
	}
	return root;
}

static str_t view_string(const json_t *value)
{
	return (str_t){json_string_value(value), json_string_length(value)};
}

static void add_text(XXH64_state_t *hash, size_t *bytes, str_t text)
{
	if (text.len)
		XXH64_update(hash, text.ptr, text.len);
	*bytes += text.len;
}

/* Content is a string, null or an array of parts; only the text in parts is
 * read. */
static err_code_t add_content(XXH64_state_t *hash, size_t *bytes,
			      const json_t *content, err_t *err)
{
	size_t i;
	json_t *part;

	if (!content || json_is_null(content))
		return ERR_OK;
	if (json_is_string(content)) {
		add_text(hash, bytes, view_string(content));
		return ERR_OK;
	}
	if (!json_is_array(content))
		return reject(err, "content of a message must be a string or "
				   "an array of parts");
	json_array_foreach(content, i, part)
	{
		json_t *text = json_object_get(part, "text");

		if (!json_is_object(part) || (text && !json_is_string(text)))
			return reject(err, "a part of a message's content is "
					   "malformed");
		if (text)
			add_text(hash, bytes, view_string(text));
	}
	return ERR_OK;
}

static err_code_t read_message(XXH64_state_t *hash, const json_t *message,
			       chat_t *chat, err_t *err)
{
	const json_t *role = json_object_get(message, "role");
	size_t bytes = 0;
	uint64_t tokens;
	err_code_t code;

	if (!json_is_string(role))
		return reject(err, "each message must be an object with a "
				   "role");
	XXH64_reset(hash, 0);
	add_text(hash, &bytes, view_string(role));
	code = add_content(hash, &bytes, json_object_get(message, "content"),
			   err);
	if (code)
		return code;
	tokens = bytes / CHAT_BYTES_PER_TOKEN + 1;
	prompt_parts_add(&chat->parts, XXH64_digest(hash), (unsigned)tokens);
	chat->prompt_tokens += tokens;
	return ERR_OK;
}

static err_code_t read_messages(const json_t *root, chat_t *chat, err_t *err)
{
	const json_t *messages = json_object_get(root, "messages");
	XXH64_state_t *hash;
	err_code_t code = ERR_OK;

	if (!json_is_array(messages) || !json_array_size(messages))
		return reject(err, "messages must be an array with at least "
				   "one message");
	hash = XXH64_createState();
	if (!hash)
		abort();
	for (size_t i = 0; i < json_array_size(messages) && !code; i++)
		code = read_message(hash, json_array_get(messages, i), chat,
				    err);
	XXH64_freeState(hash);
	return code;
}

/* A missing or null count gives 0. */
static err_code_t read_tokens(const json_t *root, const char *key,
			      uint64_t *tokens, err_t *err)
{
	const json_t *value = json_object_get(root, key);

	*tokens = 0;
	if (!value || json_is_null(value))
		return ERR_OK;
	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > CHAT_MAX_TOKENS)
		return err_set(err, ERR_INVALID, STEP, "",
			       "%s must be an integer from 1 to %d", key,
			       CHAT_MAX_TOKENS);
	*tokens = (uint64_t)json_integer_value(value);
	return ERR_OK;
}

/* The lower of max_tokens and max_completion_tokens; 0 without either. */
static err_code_t read_output_bound(const json_t *root, uint64_t *tokens,
				    err_t *err)
{
	uint64_t other;
	err_code_t code = read_tokens(root, "max_tokens", tokens, err);

	if (!code)
		code = read_tokens(root, "max_completion_tokens", &other, err);
	if (!code && other && (!*tokens || other < *tokens))
		*tokens = other;
	return code;
}

static bool read_model(const json_t *root, chat_t *chat)
{
	str_t model = view_string(json_object_get(root, "model"));

	return model.len && !memchr(model.ptr, '\0', model.len) &&
	       str_copy(chat->model, sizeof(chat->model), model);
}

static err_code_t read_chat(const json_t *root, chat_t *chat, err_t *err)
{
	const json_t *model = json_object_get(root, "model");
	const json_t *stream = json_object_get(root, "stream");
	err_code_t code;

	if (!model)
		return reject(err, "model is missing");
	if (!read_model(root, chat))
		return err_set(err, ERR_INVALID, STEP, "",
			       "model must be a string of 1 to %d bytes",
			       CHAT_MODEL_BYTES - 1);
	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return reject(err, "stream must be true or false");
	chat->stream = json_is_true(stream);
	code = read_output_bound(root, &chat->max_tokens, err);
	return code ? code : read_messages(root, chat, err);
}

err_code_t chat_parse(str_t body, chat_t *chat, err_t *err)
{
	json_t *root = load_object(body, err);
	err_code_t code;

	*chat = (chat_t){.stream = false};
	if (!root)
		return ERR_INVALID;
	code = read_chat(root, chat, err);
	json_decref(root);
	return code;
}
