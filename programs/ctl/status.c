#include "ctl.h"

json_int_t ctl_get_int(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

const char *ctl_get_text(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "-";
}

bool ctl_is_set(const json_t *json, const char *key)
{
	return json_is_true(json_object_get(json, key));
}

ctl_response_t *ctl_request_status(const ctl_args_t *args)
{
	ctl_request_t request = {.method = "GET", .path = "/v1/status"};
	buf_t key = BUF_INIT;
	ctl_response_t *responses = NULL;

	if (ctl_read_key(args, &key))
		responses = ctl_request_all(args, buf_view(&key), &request);
	buf_release(&key);
	for (size_t i = 0; responses && i < args->host_count; i++) {
		if (responses[i].http_status != 200 || responses[i].json)
			continue;
		responses[i].http_status = 0;
		str_copy(responses[i].error, sizeof(responses[i].error),
			 STR_LIT("unreachable: the answer is not JSON"));
	}
	return responses;
}
