#include "coordination/unitshare.h"

unsigned unitshare_of(unsigned units, size_t hosts, size_t rank)
{
	return (unsigned)(units / hosts + (rank < units % hosts));
}
