#include "protocol/completion.h"

#include <jansson.h>

static void copy_text(char *dst, size_t size, const json_t *value)
{
	if (json_is_string(value))
		str_copy(dst, size, str_from(json_string_value(value)));
}

err_code_t completion_add(completion_t *completion, str_t data, err_t *err)
{
	json_t *root = json_loadb(data.ptr, data.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	json_t *content;
	err_code_t code = ERR_OK;

	if (!json_is_object(choice)) {
		code = err_set(err, ERR_INVALID, "read event", "",
			       "not a chat completion chunk");
		goto done;
	}
	content = json_object_get(json_object_get(choice, "delta"), "content");
	if (json_is_string(content)) {
		buf_append(&completion->content, json_string_value(content),
			   json_string_length(content));
		completion->tokens++;
	}
	copy_text(completion->model, sizeof(completion->model),
		  json_object_get(root, "model"));
	copy_text(completion->finish_reason, sizeof(completion->finish_reason),
		  json_object_get(choice, "finish_reason"));
done:
	json_decref(root);
	return code;
}

void completion_format(const completion_t *completion, const char *id,
		       buf_t *out)
{
	const char *reason =
		*completion->finish_reason ? completion->finish_reason : "stop";

	buf_printf(out, "{\"id\":\"%s\",\"object\":\"chat.completion\",", id);
	buf_append_str(out, STR_LIT("\"model\":"));
	buf_append_json(out, str_from(completion->model));
	buf_append_str(out, STR_LIT(",\"choices\":[{\"index\":0,\"message\":"
				    "{\"role\":\"assistant\",\"content\":"));
	buf_append_json(out, buf_view(&completion->content));
	buf_append_str(out, STR_LIT("},\"finish_reason\":"));
	buf_append_json(out, str_from(reason));
	buf_printf(out, "}],\"usage\":{\"completion_tokens\":%u}}",
		   completion->tokens);
}

void completion_release(completion_t *completion)
{
	buf_release(&completion->content);
}
