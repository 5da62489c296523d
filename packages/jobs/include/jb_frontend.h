#ifndef JB_FRONTEND_H
#define JB_FRONTEND_H

/* Clients' calls on this entry host: each is checked, passed to the holder of
   its pool, passed on to the next holder when that changes, and answered
   once.  */

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
  const char *key;          /* may be NULL */
  int64_t deadline_ms;      /* for the answer, from now; 0: not said */
  int64_t received_ms;      /* Unix time */
  struct jb_job_desc *desc; /* of a JB_CALL_SUBMIT; NULL: it makes no sense */
  const char *desc_error;   /* then, what is wrong with it */
};

struct jb_frontend_options
{
  struct jb_driver *driver;
  struct jb_members *members;
  uint64_t incarnation;
  const struct jb_catalog **catalog; /* points to NULL while there is none */
  /* Return whether this host holds the pool NAME.  */
  bool (*holds) (void *data, const char *name);
  /* Take in a request to this host itself.  */
  void (*local) (void *data, jb_time now,
                 const struct jb_msg_request *request);
  void *data;
};

struct jb_frontend;

struct jb_frontend *
jb_frontend_new (TALLOC_CTX *mem, const struct jb_frontend_options *options);

/* Take in the call NUMBER, which is answered once.  Borrowed.  */
void jb_frontend_receive_call (struct jb_frontend *entry, jb_time now,
                               uint64_t number, const struct jb_call *call);

/* Take in a reply of a holder.  */
void jb_frontend_receive_reply (struct jb_frontend *entry, jb_time now,
                                const struct jb_msg_reply *reply);

/* Return the number of calls without an answer.  */
uint32_t jb_frontend_pending_count (const struct jb_frontend *entry);

/* Do what is due, and return when to be called next.  */
jb_time jb_frontend_run (struct jb_frontend *entry, jb_time now);

#endif
