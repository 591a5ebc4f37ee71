#include "coordination/floors.h"

/* Bounds the burst of a class that has waited for long. */
#define MAX_CREDIT 2.0

floors_class_t *floors_get(floors_t *floors, uint64_t id, unsigned percent)
{
	floors_class_t *class = NULL;

	for (size_t i = 0; i < floors->count && !class; i++)
		if (floors->classes[i].id == id)
			class = &floors->classes[i];
	if (!class && floors->count == FLOORS_MAX_CLASSES)
		return NULL;
	if (!class) {
		class = &floors->classes[floors->count++];
		*class = (floors_class_t){.id = id};
	}
	class->percent = percent;
	return class;
}

void floors_on_send(floors_t *floors, uint64_t id)
{
	for (size_t i = 0; i < floors->count; i++) {
		floors_class_t *class = &floors->classes[i];

		if (class->id == id)
			class->credit =
				class->credit > 1.0 ? class->credit - 1.0 : 0.0;
		else if (class->waiting)
			class->credit += class->percent / 100.0;
		else
			class->credit = 0.0;
		if (class->credit > MAX_CREDIT)
			class->credit = MAX_CREDIT;
	}
}

const floors_class_t *floors_due(const floors_t *floors)
{
	const floors_class_t *due = NULL;

	for (size_t i = 0; i < floors->count; i++) {
		const floors_class_t *class = &floors->classes[i];

		if (class->waiting && class->credit >= 1.0 &&
		    (!due || class->credit > due->credit))
			due = class;
	}
	return due;
}
