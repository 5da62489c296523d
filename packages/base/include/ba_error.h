#ifndef BA_ERROR_H
#define BA_ERROR_H

/* GError domain of dogwoodpulley.

   A function that can fail for external reasons takes a `GError **' as its
   last argument, and on failure sets it and returns false or NULL.  The
   message says where the error is (file, line, key, address) and what caused
   it.  */

#include <glib.h>

#define BA_ERROR (ba_error_quark ())

enum ba_error_code
{
  BA_ERROR_SYNTAX,      /* a text is not well-formed */
  BA_ERROR_VALUE,       /* a value is not valid */
  BA_ERROR_IO,          /* a system call failed */
  BA_ERROR_UNREACHABLE, /* an external service did not respond */
  BA_ERROR_PROTOCOL     /* the response of an external service is not valid */
};

/* Return the quark of the error domain.  */
GQuark ba_error_quark (void);

#endif
