#ifndef PL_TABLE_H
#define PL_TABLE_H

/* Bodies of the DynamoDB low-level JSON protocol.  */

#include "co_event.h"

#include <jansson.h>

#define PL_TABLE_NAME "dogwoodpulley"

/* Body of a row that is kept in the object store: its name there.  */
#define PL_OBJECT_KEY_ATTRIBUTE "ref"

struct pl_table_request
{
  const char *target; /* value of X-Amz-Target; static */
  char *body;         /* JSON, owned by the context given */
};

/* Return the request that carries out WRITE.  REFERENCE names the object that
   holds the row's body, or is NULL.  EXPIRES is in seconds of wall time; 0:
   never.  */
struct pl_table_request
pl_table_write_request (TALLOC_CTX *mem, const struct co_action_write *write,
                        const char *reference, int64_t expires);

/* Return the request that reads one row.  */
struct pl_table_request pl_table_get_request (TALLOC_CTX *mem,
                                              const char *partition,
                                              const char *sort);

/* Return the request that reads the rows of PARTITION whose sort key is
   greater than AFTER.  START is the LastEvaluatedKey of the page before, or
   NULL.  */
struct pl_table_request pl_table_query_request (TALLOC_CTX *mem,
                                                const char *partition,
                                                const char *after,
                                                json_t *start);

/* Return what an answer to a write means.  */
enum co_store_result pl_table_parse_write_result (unsigned status,
                                                  const char *body);

/* Fill ROW from ITEM.  REFERENCE is set to the object's name when the body
   is kept there.  Return whether ITEM makes sense.  */
bool pl_table_parse_row (TALLOC_CTX *mem, json_t *item, struct co_row *row,
                         char **reference);

#endif
