#ifndef PL_TABLE_H
#define PL_TABLE_H

/* Request and response bodies of the DynamoDB low-level JSON protocol.  */

#include "co_event.h"

#include <jansson.h>

#define PL_TABLE_NAME "dogwoodpulley"

/* Attribute with the key of the object that holds the row's body, if the body
   is kept in the object store.  */
#define PL_OBJECT_KEY_ATTRIBUTE "ref"

struct pl_table_request
{
  const char *target; /* value of X-Amz-Target; static */
  char *body;         /* JSON, owned by the function's MEM */
};

/* Return the request that carries out WRITE: a conditional put, in a
   transaction if WRITE requires a version of the view.  OBJECT_KEY is the key
   of the object that holds the row's body, or NULL to store the body in the
   row.  EXPIRY_TIME is in seconds since the Unix epoch; 0: never.  */
struct pl_table_request
pl_table_write_request (TALLOC_CTX *mem, const struct co_action_write *write,
                        const char *object_key, int64_t expiry_time);

/* Return the request that reads the row at PARTITION and SORT_KEY.  */
struct pl_table_request pl_table_get_request (TALLOC_CTX *mem,
                                              const char *partition,
                                              const char *sort_key);

/* Return the request that reads the rows of PARTITION whose sort key is
   greater than AFTER_SORT_KEY; an empty AFTER_SORT_KEY reads all rows.
   START_KEY is the LastEvaluatedKey of the previous page, or NULL for the
   first page.  */
struct pl_table_request pl_table_query_request (TALLOC_CTX *mem,
                                                const char *partition,
                                                const char *after_sort_key,
                                                json_t *start_key);

/* Return the result of a write whose response has HTTP status STATUS and the
   null-terminated body BODY.  */
enum co_store_result pl_table_parse_write_result (unsigned status,
                                                  const char *body);

/* Fill ROW from the DynamoDB item ITEM.  *OBJECT_KEY is set to the key of the
   object that holds the body, or NULL if ITEM holds it.  Everything is owned
   by MEM.  Return whether ITEM is valid.  */
bool pl_table_parse_row (TALLOC_CTX *mem, json_t *item, struct co_row *row,
                         char **object_key);

#endif
