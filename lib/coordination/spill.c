#include "coordination/spill.h"

#include "base/mix.h"

/* Change of the share in a second for a region that lacks all of its room. It
 * stays slower than a send takes to show in the loads of other hosts. */
#define GAIN_PER_S 0.8
#define MAX_STEP_MS 1000
#define MS_PER_S 1000.0
/* Makes the choice independent of others by the same hash. */
#define SELECTION_KEY 0x5b1117u

/* Part of the region's requests for which it lacks room and others have it;
 * negative when it has room for more. */
static double missing_share(const spill_room_t *own, const spill_room_t *others)
{
	double missing = own->used - SPILL_FULL_SHARE * own->slots;
	double room = SPILL_FULL_SHARE * others->slots - others->used;

	if (own->used <= 0.0)
		return -1.0;
	if (room < 0.0)
		room = 0.0;
	if (missing > room)
		missing = room;
	return missing > -own->used ? missing / own->used : -1.0;
}

static double sample_of(size_t endpoints)
{
	double share =
		(double)SPILL_MIN_SAMPLE / (double)(endpoints ? endpoints : 1);

	if (share > 1.0)
		return 1.0;
	return share > SPILL_SAMPLE_SHARE ? share : SPILL_SAMPLE_SHARE;
}

void spill_update(spill_t *spill, const spill_room_t *own,
		  const spill_room_t *others, int64_t now_ms)
{
	int64_t ms = spill->updated_ms ? now_ms - spill->updated_ms : 0;

	if (ms > MAX_STEP_MS)
		ms = MAX_STEP_MS;
	spill->updated_ms = now_ms;
	spill->sample_share = sample_of(own->endpoints);
	spill->share += GAIN_PER_S * (double)ms / MS_PER_S *
			missing_share(own, others) * (1.0 - spill->share);
	if (spill->share < 0.0)
		spill->share = 0.0;
	if (spill->share > 1.0)
		spill->share = 1.0;
}

double spill_link_discount_ms(const spill_t *spill, uint64_t id_hash)
{
	double position =
		(double)(mix_u64(id_hash, SELECTION_KEY) >> 11) * 0x1p-53;

	return position < spill->share ? SPILL_LINK_DISCOUNT_MS : 0.0;
}

double spill_sample_share(const spill_t *spill)
{
	return spill->share > 0.0 ? spill->sample_share : 1.0;
}
