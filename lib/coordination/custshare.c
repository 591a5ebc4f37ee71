#include "coordination/custshare.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000.0
/* Requests of customers over their share queue later by this for each time that
 * the excess doubles. A strict order by excess would swing between customers,
 * since hosts learn of their sends a second late. */
#define DELAY_MS_PER_DOUBLING 1500.0

typedef struct entry {
	uint32_t service;
	uint32_t customer;
	unsigned weight;
	/* Decaying sums, as of `updated_ms`. */
	double used;
	double demand;
	double delayed; /* demand that has not entered `usual` yet */
	double usual;
	int64_t updated_ms;
	int64_t over_ms; /* last request while over the share; 0: none */
} entry_t;

typedef struct short_service {
	uint32_t service;
	int64_t short_ms;
} short_service_t;

struct custshare {
	int64_t created_ms;
	entry_t entries[CUSTSHARE_MAX_ENTRIES];
	size_t count;
	short_service_t services[CUSTSHARE_MAX_SERVICES];
	size_t service_count;
	custshare_use_t totals[CUSTSHARE_MAX_TOTALS];
	size_t total_count;
	int64_t totals_ms;
};

custshare_t *custshare_create(int64_t now_ms)
{
	custshare_t *share = calloc(1, sizeof(*share));

	if (!share)
		abort();
	share->created_ms = now_ms;
	return share;
}

void custshare_free(custshare_t *share)
{
	free(share);
}

static double decay(double sum, int64_t ms, double half_life_ms)
{
	return sum * exp2(-(double)ms / half_life_ms);
}

static void advance(entry_t *entry, int64_t now_ms)
{
	int64_t ms = now_ms - entry->updated_ms;
	double delayed =
		decay(entry->delayed, ms, CUSTSHARE_DELAY_HALF_LIFE_MS);

	entry->used = decay(entry->used, ms, CUSTSHARE_RECENT_HALF_LIFE_MS);
	entry->demand = decay(entry->demand, ms, CUSTSHARE_RECENT_HALF_LIFE_MS);
	entry->usual = decay(entry->usual, ms, CUSTSHARE_USUAL_HALF_LIFE_MS) +
		       entry->delayed - delayed;
	entry->delayed = delayed;
	entry->updated_ms = now_ms;
}

/* Replaces the entry that was updated longest ago when the table is full. */
static entry_t *find_or_add(custshare_t *share, uint32_t service,
			    uint32_t customer)
{
	entry_t *oldest = share->entries;

	for (size_t i = 0; i < share->count; i++) {
		entry_t *entry = &share->entries[i];

		if (entry->service == service && entry->customer == customer)
			return entry;
		if (entry->updated_ms < oldest->updated_ms)
			oldest = entry;
	}
	if (share->count < CUSTSHARE_MAX_ENTRIES)
		oldest = &share->entries[share->count++];
	*oldest = (entry_t){
		.service = service, .customer = customer, .weight = 1};
	return oldest;
}

static bool has_totals(const custshare_t *share, int64_t now_ms)
{
	return share->total_count &&
	       now_ms - share->totals_ms < CUSTSHARE_TOTALS_TTL_MS;
}

static const custshare_use_t *find_total(const custshare_t *share,
					 uint32_t service, uint32_t customer)
{
	for (size_t i = 0; i < share->total_count; i++)
		if (share->totals[i].service == service &&
		    share->totals[i].customer == customer)
			return &share->totals[i];
	return NULL;
}

/*
 * The part of `amount` from which the customer's usual rate is learnt. While it
 * is over its share, it learns as if its demand were the highest usual one, or
 * its share if that is more: a burst doesn't become usual while it lasts, but a
 * lasting growth does within minutes.
 */
static double usual_part(const custshare_t *share, const entry_t *entry,
			 double amount, int64_t now_ms)
{
	double excess = custshare_excess(share, entry->service, entry->customer,
					 now_ms);
	const custshare_use_t *total;
	double learnt_per_s;

	if (excess <= 0.0)
		return amount;
	total = find_total(share, entry->service, entry->customer);
	learnt_per_s = CUSTSHARE_USUAL_FACTOR * total->usual_per_s;
	if (learnt_per_s < total->used_per_s / excess)
		learnt_per_s = total->used_per_s / excess;
	return learnt_per_s < total->demand_per_s ?
		       amount * learnt_per_s / total->demand_per_s :
		       amount;
}

void custshare_on_demand(custshare_t *share, uint32_t service,
			 uint32_t customer, unsigned weight, double amount,
			 int64_t now_ms)
{
	entry_t *entry = find_or_add(share, service, customer);

	advance(entry, now_ms);
	if (weight > CUSTSHARE_MAX_WEIGHT)
		weight = CUSTSHARE_MAX_WEIGHT;
	entry->weight = weight ? weight : 1;
	entry->demand += amount;
	entry->delayed += usual_part(share, entry, amount, now_ms);
}

void custshare_on_use(custshare_t *share, uint32_t service, uint32_t customer,
		      double amount, int64_t now_ms)
{
	entry_t *entry = find_or_add(share, service, customer);

	advance(entry, now_ms);
	entry->used += amount;
}

void custshare_on_short(custshare_t *share, uint32_t service, int64_t now_ms)
{
	short_service_t *oldest = share->services;

	for (size_t i = 0; i < share->service_count; i++) {
		short_service_t *at = &share->services[i];

		if (at->service == service) {
			at->short_ms = now_ms;
			return;
		}
		if (at->short_ms < oldest->short_ms)
			oldest = at;
	}
	if (share->service_count < CUSTSHARE_MAX_SERVICES)
		oldest = &share->services[share->service_count++];
	*oldest = (short_service_t){service, now_ms};
}

static bool was_short(const short_service_t *service, int64_t now_ms)
{
	return now_ms - service->short_ms < CUSTSHARE_SHORT_MS;
}

bool custshare_is_short(const custshare_t *share, int64_t now_ms)
{
	for (size_t i = 0; i < share->service_count; i++)
		if (was_short(&share->services[i], now_ms))
			return true;
	return false;
}

static bool is_service_short(const custshare_t *share, uint32_t service,
			     int64_t now_ms)
{
	for (size_t i = 0; i < share->service_count; i++)
		if (share->services[i].service == service)
			return was_short(&share->services[i], now_ms);
	return false;
}

void custshare_set_totals(custshare_t *share, const custshare_use_t *totals,
			  size_t count, int64_t now_ms)
{
	if (count > CUSTSHARE_MAX_TOTALS)
		count = CUSTSHARE_MAX_TOTALS;
	memcpy(share->totals, totals, count * sizeof(*totals));
	share->total_count = count;
	share->totals_ms = now_ms;
}

/* What a weight of 1 may use of the service. */
static double share_per_weight(const custshare_t *share, uint32_t service)
{
	double used = 0.0;
	double weights = 0.0;

	for (size_t i = 0; i < share->total_count; i++) {
		const custshare_use_t *use = &share->totals[i];

		if (use->service != service)
			continue;
		used += use->used_per_s;
		weights += use->weight;
	}
	return weights > 0.0 ? used / weights : 0.0;
}

double custshare_excess(const custshare_t *share, uint32_t service,
			uint32_t customer, int64_t now_ms)
{
	const custshare_use_t *use;
	double fair_per_s;

	if (!has_totals(share, now_ms) ||
	    !is_service_short(share, service, now_ms))
		return 0.0;
	use = find_total(share, service, customer);
	if (!use ||
	    use->demand_per_s <= CUSTSHARE_USUAL_FACTOR * use->usual_per_s)
		return 0.0;
	fair_per_s = use->weight * share_per_weight(share, service);
	return use->used_per_s > fair_per_s ? use->used_per_s / fair_per_s :
					      0.0;
}

bool custshare_note_over(custshare_t *share, uint32_t service,
			 uint32_t customer, int64_t now_ms)
{
	entry_t *entry = find_or_add(share, service, customer);
	bool is_first = !entry->over_ms ||
			now_ms - entry->over_ms >= CUSTSHARE_SHORT_MS;

	entry->over_ms = now_ms;
	return is_first;
}

int64_t custshare_delay_ms(double excess)
{
	return excess > 1.0 ? (int64_t)(DELAY_MS_PER_DOUBLING * log2(excess)) :
			      0;
}

int64_t custshare_recovery_ms(double excess)
{
	return excess > 1.0 ?
		       (int64_t)(CUSTSHARE_RECENT_HALF_LIFE_MS * log2(excess)) :
		       0;
}

static double recent_rate(double sum)
{
	return sum * MS_PER_S * M_LN2 / CUSTSHARE_RECENT_HALF_LIFE_MS;
}

/* The value of a usual sum after `age_ms` at a rate of 1 a ms. */
static double usual_sum_of_unit_rate(double age_ms)
{
	static const double usual_ms = CUSTSHARE_USUAL_HALF_LIFE_MS / M_LN2;
	static const double delay_ms = CUSTSHARE_DELAY_HALF_LIFE_MS / M_LN2;
	double usual_left = exp(-age_ms / usual_ms);
	double delay_left = exp(-age_ms / delay_ms);

	return usual_ms * (1.0 - usual_left) -
	       usual_ms * delay_ms / (usual_ms - delay_ms) *
		       (usual_left - delay_left);
}

/* The mean over the time that the sum covers, which is short on a new host. */
static double usual_rate(const custshare_t *share, double sum, int64_t now_ms)
{
	double unit =
		usual_sum_of_unit_rate((double)(now_ms - share->created_ms));

	return unit > 0.0 ? sum * MS_PER_S / unit : 0.0;
}

size_t custshare_report(const custshare_t *share, int64_t now_ms,
			custshare_use_t *uses)
{
	custshare_use_t all[CUSTSHARE_MAX_ENTRIES];
	size_t count;

	for (size_t i = 0; i < share->count; i++) {
		entry_t entry = share->entries[i];

		advance(&entry, now_ms);
		all[i] = (custshare_use_t){
			.service = entry.service,
			.customer = entry.customer,
			.weight = entry.weight,
			.used_per_s = recent_rate(entry.used),
			.demand_per_s = recent_rate(entry.demand),
			.usual_per_s = usual_rate(share, entry.usual, now_ms)};
	}
	count = custshare_select_largest(all, share->count,
					 CUSTSHARE_MAX_REPORT);
	memcpy(uses, all, count * sizeof(*uses));
	return count;
}

static int compare_keys(const void *a, const void *b)
{
	const custshare_use_t *left = a;
	const custshare_use_t *right = b;

	if (left->service != right->service)
		return left->service < right->service ? -1 : 1;
	return (left->customer > right->customer) -
	       (left->customer < right->customer);
}

/* Adds up neighbours with the same service and customer. */
static size_t merge(custshare_use_t *uses, size_t count)
{
	size_t merged = 0;

	for (size_t i = 0; i < count; i++) {
		custshare_use_t *last = merged ? &uses[merged - 1] : NULL;

		if (!last || compare_keys(last, &uses[i])) {
			uses[merged++] = uses[i];
			continue;
		}
		last->used_per_s += uses[i].used_per_s;
		last->demand_per_s += uses[i].demand_per_s;
		last->usual_per_s += uses[i].usual_per_s;
		/* Hosts may know different versions of the configuration. */
		if (last->weight < uses[i].weight)
			last->weight = uses[i].weight;
	}
	return merged;
}

/* A use with its part of what is used of the service. */
typedef struct ranked_use {
	custshare_use_t use;
	double part;
} ranked_use_t;

static int compare_parts(const void *a, const void *b)
{
	double left = ((const ranked_use_t *)a)->part;
	double right = ((const ranked_use_t *)b)->part;

	return (left < right) - (left > right);
}

/* Sets the parts of uses that are sorted by service. */
static void rank(ranked_use_t *ranked, const custshare_use_t *uses,
		 size_t count)
{
	size_t end;

	for (size_t begin = 0; begin < count; begin = end) {
		double total = 0.0;

		for (end = begin;
		     end < count && uses[end].service == uses[begin].service;
		     end++)
			total += uses[end].used_per_s;
		for (size_t i = begin; i < end; i++)
			ranked[i] = (ranked_use_t){
				uses[i],
				total > 0.0 ? uses[i].used_per_s / total : 0.0};
	}
}

size_t custshare_select_largest(custshare_use_t *uses, size_t count, size_t max)
{
	ranked_use_t *ranked;

	if (!count)
		return 0;
	qsort(uses, count, sizeof(*uses), compare_keys);
	count = merge(uses, count);
	if (count <= max)
		return count;
	ranked = malloc(count * sizeof(*ranked));
	if (!ranked)
		abort();
	rank(ranked, uses, count);
	qsort(ranked, count, sizeof(*ranked), compare_parts);
	for (size_t i = 0; i < max; i++)
		uses[i] = ranked[i].use;
	free(ranked);
	return max;
}
