#ifndef CF_SCHEMA_H
#define CF_SCHEMA_H

/* Conversion between YAML mappings and C structures described by tables.

   A schema is a table of fields that says where the value of each key is
   stored in a C structure.  Decoding reports all errors of a text, each with
   file, line, key and what was expected.  A key that the schema does not have
   is an error.  */

#include "ba_error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

enum cf_type
{
  CF_TYPE_STRING,  /* char *: any YAML scalar */
  CF_TYPE_NAME,    /* char *: 1 to 63 letters, digits, '-', '_' or '.' */
  CF_TYPE_ADDRESS, /* char *: IPv4 address and port, as in "127.0.0.1:80" */
  CF_TYPE_INTEGER, /* int64_t from `min' to `max' */
  CF_TYPE_BOOLEAN, /* bool: true or false */
  CF_TYPE_CHOICE,  /* int64_t: index into `choices' */
  CF_TYPE_MAPPING, /* an embedded structure described by `schema' */
  CF_TYPE_LIST     /* pointer to an array of structures described by `schema',
                      and a uint32_t for the number of its elements */
};

struct cf_schema;

/* One key of a mapping.  */
struct cf_field
{
  const char *key;
  enum cf_type type;
  size_t offset;              /* of the value in the structure, in bytes */
  size_t count_offset;        /* CF_TYPE_LIST: of the number of elements */
  bool required;              /* a missing key is an error */
  int64_t min, max;           /* CF_TYPE_INTEGER: inclusive bounds */
  int64_t default_value;      /* for a missing integer, boolean or choice */
  const char *default_string; /* for a missing string, name or address; NULL:
                                 the member is left unchanged */
  const char *const *choices; /* CF_TYPE_CHOICE: NULL-terminated words */
  const struct cf_schema *schema; /* CF_TYPE_MAPPING, CF_TYPE_LIST */
};

/* A mapping and the C structure that its values are stored in.  */
struct cf_schema
{
  const char *noun; /* name of the mapping in messages, such as "pool" */
  size_t size;      /* of the structure, in bytes */
  const struct cf_field *fields;
  size_t field_count; /* at most 64, because decoding keeps one bit of a
                         uint64_t for each field */
};

/* The errors found in one text.  */
struct cf_errors
{
  const char *file;  /* file name that the messages give, borrowed */
  GString *messages; /* one line per error; NULL while there is none */
  unsigned count;
};

/* Add an error at LINE, counted from 1, or with LINE 0 an error of the file as
   a whole.  FORMAT is a printf format for the message.  */
void cf_errors_add (struct cf_errors *errors, unsigned long line,
                    const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Return true if no error was added.  Otherwise move all messages to ERROR and
   return false.  */
bool cf_errors_finish (struct cf_errors *errors, GError **error);

/* Decode the YAML in TEXT into OUT, a structure described by SCHEMA.  Strings
   and arrays are owned by MEM.  Errors are added to ERRORS; if there are any,
   the contents of OUT are unspecified.  */
void cf_schema_decode (TALLOC_CTX *mem, const char *text,
                       const struct cf_schema *schema, void *out,
                       struct cf_errors *errors);

/* Return the structure IN, described by SCHEMA, as canonical YAML text owned
   by MEM.  Decoding the text gives an equal structure.  */
char *cf_schema_to_yaml (TALLOC_CTX *mem, const struct cf_schema *schema,
                         const void *in);

#endif
