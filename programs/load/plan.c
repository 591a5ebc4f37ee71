#include "load/load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

#define US_PER_S 1000000.0
/* Length of the shared part of a prompt, which hosts hash for prefix affinity
 * and engines cache. */
#define PREFIX_BYTES 256
/* 64-bit FNV-1a, which the stand-in engine uses to generate its tokens. */
#define FNV_OFFSET_BASIS 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

static uint64_t hash_bytes(uint64_t hash, str_t bytes)
{
	for (size_t i = 0; i < bytes.len; i++)
		hash = (hash ^ (unsigned char)bytes.ptr[i]) * FNV_PRIME;
	return hash;
}

uint64_t load_hash_prompt(str_t prompt)
{
	return hash_bytes(hash_bytes(FNV_OFFSET_BASIS, prompt), STR_LIT("\n"));
}

void load_append_token(buf_t *out, uint64_t hash, unsigned k)
{
	char digits[16];

	snprintf(digits, sizeof(digits), "%u", k);
	hash = hash_bytes(hash, str_from(digits));
	buf_printf(out, "%sw%06x", k ? " " : "", (unsigned)(hash & 0xffffff));
}

void load_append_prompt(buf_t *out, const load_run_t *run,
			const load_request_t *request)
{
	const load_class_t *class =
		&run->scenario.classes[request->class_index];

	if (class->prefixes)
		buf_printf(out, "%-*s%u ", PREFIX_BYTES, class->name,
			   request->prefix);
	buf_printf(out, "%s request %" PRIu64 "-%u", class->name,
		   run->scenario.seed, request->serial);
}

static double rate_at(const load_class_t *class, double us)
{
	const load_rate_point_t *p = class->rate;
	size_t last = class->rate_count - 1;

	if (us <= p[0].at_us)
		return p[0].per_s;
	for (size_t i = 0; i < last; i++) {
		double span = p[i + 1].at_us - p[i].at_us;

		if (us < p[i + 1].at_us)
			return p[i].per_s + (p[i + 1].per_s - p[i].per_s) *
						    (us - p[i].at_us) / span;
	}
	return p[last].per_s;
}

static double max_rate(const load_class_t *class)
{
	double max = 0;

	for (size_t i = 0; i < class->rate_count; i++)
		max = fmax(max, class->rate[i].per_s);
	return max;
}

static unsigned random_length(const load_class_t *class, gsl_rng *rng)
{
	double tokens;

	if (!class->max_tokens)
		return 0;
	tokens =
		gsl_ran_lognormal(rng, log(class->median_tokens), class->sigma);
	if (tokens > class->max_tokens)
		return class->max_tokens;
	return tokens < 1 ? 1 : (unsigned)tokens;
}

static unsigned random_below(gsl_rng *rng, size_t count)
{
	return count ? (unsigned)gsl_rng_uniform_int(rng, count) : 0;
}

/* Generates a Poisson process with a varying rate by thinning one that has the
 * highest rate. Returns false if the schedule exceeds max_requests. */
static bool plan_class(load_run_t *run, unsigned index, gsl_rng *rng)
{
	const load_scenario_t *s = &run->scenario;
	const load_class_t *class = &s->classes[index];
	double highest_rate = max_rate(class) * run->scale;
	double at_us = 0;

	while (highest_rate > 0) {
		load_request_t r = {.class_index = index, .first_token_us = -1};

		at_us += gsl_ran_exponential(rng, US_PER_S / highest_rate);
		if (at_us >= (double)s->duration_us)
			break;
		if (gsl_rng_uniform(rng) * highest_rate >
		    rate_at(class, at_us) * run->scale)
			continue;
		if (run->request_count == s->max_requests)
			return false;
		r.at_us = (int64_t)at_us;
		r.customer = class->customers[random_below(
			rng, class->customer_count)];
		r.entry = random_below(rng, s->entry_count);
		r.prefix = random_below(rng, class->prefixes);
		r.output_tokens = random_length(class, rng);
		run->requests[run->request_count++] = r;
	}
	return true;
}

static int compare_times(const void *a, const void *b)
{
	const load_request_t *x = a, *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (int)x->class_index - (int)y->class_index;
}

err_code_t load_plan(load_run_t *run, err_t *err)
{
	const load_scenario_t *s = &run->scenario;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	err_code_t code = ERR_OK;

	run->requests = calloc(s->max_requests, sizeof(*run->requests));
	if (!rng || !run->requests) {
		code = err_set(err, ERR_FULL, "plan", "", "out of memory");
		goto done;
	}
	/* Each class has its own random sequence, so that a change to one class
	 * does not alter the requests of the others. */
	for (unsigned i = 0; i < s->class_count; i++) {
		gsl_rng_set(rng,
			    (unsigned long)s->seed * LOAD_MAX_CLASSES + i + 1);
		if (!plan_class(run, i, rng)) {
			code = err_set(err, ERR_TOO_LARGE, "plan", "",
				       "more than max_requests = %u requests",
				       s->max_requests);
			goto done;
		}
	}
	qsort(run->requests, run->request_count, sizeof(*run->requests),
	      compare_times);
	for (size_t i = 0; i < run->request_count; i++)
		run->requests[i].serial = (unsigned)i;
done:
	if (rng)
		gsl_rng_free(rng);
	return code;
}
