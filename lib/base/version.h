#ifndef BASE_VERSION_H
#define BASE_VERSION_H

/* Version of all programs. */
#define PERIDOT_VERSION "0.2.0"

#endif
