#ifndef JB_FRONTEND_H
#define JB_FRONTEND_H

/* The front end: handles the calls that clients make to this entry host.  Each
   call is checked and forwarded to the owner of its queue's pool, which may be
   this host itself.  It is forwarded again if the pool's owner changes or does
   not reply, and answered exactly once, before its deadline.  A submission of
   which one copy was refused and another one never replied to is answered
   JB_ANSWER_UNKNOWN.  */

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
  const char *host;         /* of the URL; may be NULL */
  const char *path;         /* of the URL */
  const char *key;          /* API key; may be NULL */
  int64_t deadline_ms;      /* time to answer in, from when the call was read;
                               0: not specified */
  jb_time read_at;          /* 0: now */
  int64_t received_ms;      /* Unix time */
  struct jb_job_desc *desc; /* for JB_CALL_SUBMIT; NULL: invalid */
  const char *desc_error;   /* why it is invalid, if `desc' is NULL */
};

struct jb_frontend_options
{
  struct jb_driver *driver;
  struct jb_members *members;
  uint64_t incarnation;              /* of this host's process */
  const struct jb_catalog **catalog; /* *catalog is NULL while there is none */
  const struct jb_bounds *bounds;
  /* Return whether this host owns the pool NAME.  */
  bool (*owns_pool) (void *data, const char *name);
  /* Handle REQUEST, which is borrowed, for a pool that this host owns.  The
     reply may arrive during this call.  */
  void (*handle_local) (void *data, jb_time now,
                        const struct jb_msg_request *request);
  void *data;
};

struct jb_frontend;

/* Return a new front end, owned by MEM.  OPTIONS are copied, but what they
   point to must outlive the front end.  */
struct jb_frontend *
jb_frontend_new (TALLOC_CTX *mem, const struct jb_frontend_options *options);

/* Handle CALL, which is borrowed and has the unique NUMBER.  It is answered
   once, with jb_driver_answer_call, possibly during this call.  */
void jb_frontend_receive_call (struct jb_frontend *frontend, jb_time now,
                               uint64_t number, const struct jb_call *call);

/* Process a pool owner's REPLY, which is borrowed, to a forwarded request.  A
   reply to a call that has been answered, or to a request that was replaced by
   another one, is ignored.  But that a submission was accepted is its answer
   whichever copy of whichever request it is the reply to, and that it was
   refused is its answer only when no other copy can be accepted.  */
void jb_frontend_receive_reply (struct jb_frontend *frontend, jb_time now,
                                const struct jb_msg_reply *reply);

/* Answer each call by ANSWER_BY at the latest, those that are pending and
   those that are still to come, because this host is stopping.  A call that
   comes later is refused at once.  */
void jb_frontend_stop (struct jb_frontend *frontend, jb_time answer_by);

/* Return the number of calls that have not been answered.  */
uint32_t jb_frontend_pending_count (const struct jb_frontend *frontend);

/* Forward the calls that are due to be forwarded, and answer those that have
   timed out.  Return the time of the next call, or JB_NEVER.  */
jb_time jb_frontend_run (struct jb_frontend *frontend, jb_time now);

#endif
