#ifndef CF_SCHEMA_H
#define CF_SCHEMA_H

/* Decoding and printing of YAML mappings described by tables.

   A table of fields says where each key of a mapping is stored in a C
   structure.  Decoding checks the whole text before it gives anything, and
   reports every error with file, line, key and what was expected; keys that
   no field names are errors.  */

#include "ba_error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

enum cf_type
{
  CF_TYPE_STRING, /* char *: any scalar */
  CF_TYPE_NAME,   /* char *: letters, digits, '-', '_', '.'; 1 to 63 of them */
  CF_TYPE_ADDRESS, /* char *: IPv4 address and port, "127.0.0.1:80" */
  CF_TYPE_INTEGER, /* int64_t between min and max */
  CF_TYPE_BOOLEAN, /* bool: true or false */
  CF_TYPE_CHOICE,  /* int64_t: index of the word in `words' */
  CF_TYPE_MAPPING, /* an embedded structure described by `sub' */
  CF_TYPE_LIST     /* T * and uint32_t count: structures described by `sub' */
};

struct cf_schema;

struct cf_field
{
  const char *key;
  enum cf_type type;
  size_t offset;            /* of the value in the structure */
  size_t count_offset;      /* CF_TYPE_LIST: of the element count */
  bool required;            /* absence is an error */
  int64_t min, max;         /* CF_TYPE_INTEGER bounds, inclusive */
  int64_t fallback;         /* value of an absent integer, boolean or choice */
  const char *text;         /* value of an absent text */
  const char *const *words; /* CF_TYPE_CHOICE: NULL-ended */
  const struct cf_schema *sub;
};

struct cf_schema
{
  const char *what; /* noun for messages, such as "pool" */
  size_t size;      /* bytes of the structure */
  const struct cf_field *fields;
  size_t count;
};

/* Collected errors of one text.  */
struct cf_errors
{
  const char *file; /* borrowed name for messages */
  GString *text;    /* one line for each error; NULL until the first */
  unsigned count;
};

/* Add one error at LINE (counted from 1; 0 for the whole file).  */
void cf_errors_add (struct cf_errors *problems, unsigned long line,
                    const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Turn the collected errors into a GError and free them.  Return whether
   there were none.  */
bool cf_errors_finish (struct cf_errors *problems, GError **error);

/* Decode TEXT into OUT, a structure of SCHEMA.  Strings and lists are owned
   by MEM.  Errors go to PROBLEMS; OUT is unspecified when there are any.  */
void cf_schema_decode (TALLOC_CTX *mem, const char *text,
                       const struct cf_schema *schema, void *out,
                       struct cf_errors *problems);

/* Return the canonical YAML text of IN, owned by MEM.  Decoding it gives an
   equal structure.  */
char *cf_schema_to_yaml (TALLOC_CTX *mem, const struct cf_schema *schema,
                         const void *in);

#endif
