#ifndef JB_FRONTEND_H
#define JB_FRONTEND_H

/* Clients' calls on this entry host.  Each call is checked, forwarded to the
   host that owns the pool of its queue, forwarded again when the pool's owner
   changes, and answered once.  */

#include "jb_members.h"

enum jb_call_kind
{
  JB_CALL_SUBMIT,
  JB_CALL_QUERY, /* of a job, or of a queue when the path names no job */
  JB_CALL_CANCEL
};

struct jb_call
{
  enum jb_call_kind kind;
  const char *host; /* of the URL; may be NULL */
  const char *path;
  const char *key;          /* API key; may be NULL */
  int64_t deadline_ms;      /* for the answer, from now; 0: not specified */
  int64_t received_ms;      /* Unix time */
  struct jb_job_desc *desc; /* of a JB_CALL_SUBMIT; NULL: it is invalid */
  const char *desc_error;   /* why it is invalid, when `desc' is NULL */
};

struct jb_frontend_options
{
  struct jb_driver *driver;
  struct jb_members *members;
  uint64_t incarnation;              /* of this host's process */
  const struct jb_catalog **catalog; /* points to NULL while there is none */
  /* Return whether this host owns the pool NAME.  */
  bool (*owns_pool) (void *data, const char *name);
  /* Handle REQUEST, which is borrowed, on this host itself.  */
  void (*handle_local) (void *data, jb_time now,
                        const struct jb_msg_request *request);
  void *data;
};

struct jb_frontend;

/* Return a new front end without calls, owned by MEM.  What OPTIONS point to
   must outlive it.  */
struct jb_frontend *
jb_frontend_new (TALLOC_CTX *mem, const struct jb_frontend_options *options);

/* Accept CALL, which is borrowed, under the unique NUMBER.  It is answered
   once, with jb_driver_answer_call.  */
void jb_frontend_receive_call (struct jb_frontend *frontend, jb_time now,
                               uint64_t number, const struct jb_call *call);

/* Process a pool owner's REPLY, which is borrowed, to a forwarded request.  A
   reply to a call that has been answered is ignored.  */
void jb_frontend_receive_reply (struct jb_frontend *frontend, jb_time now,
                                const struct jb_msg_reply *reply);

/* Return the number of calls that have not been answered.  */
uint32_t jb_frontend_pending_count (const struct jb_frontend *frontend);

/* Forward and time out calls as due, and return when to be called next.  */
jb_time jb_frontend_run (struct jb_frontend *frontend, jb_time now);

#endif
