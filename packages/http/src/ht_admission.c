#include "ht_admission.h"

struct ht_admission
{
  struct ht_admission_options options;
  unsigned count;            /* of connections that are not to be closed */
  size_t body_bytes;         /* counted for their bodies */
  size_t waiting_body_bytes; /* of these, for those that wait */
  /* By state; connections in no list are waiting or to be closed.  */
  GQueue receiving; /* by the time in `since' */
  GQueue idle;      /* by the time at which they became idle */
};

/* Return the list that holds the connections in STATE, or NULL.  */
static GQueue *
list_of_state (struct ht_admission *admission, enum ht_connection_state state)
{
  switch (state)
    {
    case HT_CONNECTION_NEW:
    case HT_CONNECTION_HEADER:
    case HT_CONNECTION_BODY:
    case HT_CONNECTION_DISCARDING:
      return &admission->receiving;
    case HT_CONNECTION_IDLE:
      return &admission->idle;
    case HT_CONNECTION_WAITING:
    case HT_CONNECTION_CLOSING:
      break;
    }
  return NULL;
}

static int64_t
state_timeout (const struct ht_admission *admission,
               enum ht_connection_state state)
{
  switch (state)
    {
    case HT_CONNECTION_HEADER:
      return admission->options.header_timeout_us;
    case HT_CONNECTION_BODY:
      return admission->options.body_timeout_us;
    case HT_CONNECTION_DISCARDING:
      return admission->options.discard_timeout_us;
    default:
      return admission->options.idle_timeout_us;
    }
}

/* Count BYTES for the body of ADMITTED.  */
static void
count_body (struct ht_admission *admission, struct ht_admitted *admitted,
            size_t bytes)
{
  admission->body_bytes += bytes - admitted->body_bytes;
  if (admitted->state == HT_CONNECTION_WAITING)
    admission->waiting_body_bytes += bytes - admitted->body_bytes;
  admitted->body_bytes = bytes;
}

/* Move ADMITTED to the list of STATE.  Within a list it keeps its place.  */
static void
set_state (struct ht_admission *admission, struct ht_admitted *admitted,
           enum ht_connection_state state)
{
  GQueue *from = list_of_state (admission, admitted->state);
  GQueue *to = list_of_state (admission, state);

  if (admitted->state == HT_CONNECTION_WAITING)
    admission->waiting_body_bytes -= admitted->body_bytes;
  if (state == HT_CONNECTION_WAITING)
    admission->waiting_body_bytes += admitted->body_bytes;
  admitted->state = state;
  if (from == to)
    return;
  if (from != NULL)
    g_queue_unlink (from, &admitted->link);
  if (to != NULL)
    g_queue_push_tail_link (to, &admitted->link);
}

void
ht_admission_begin_close (struct ht_admission *admission,
                          struct ht_admitted *admitted)
{
  count_body (admission, admitted, 0);
  set_state (admission, admitted, HT_CONNECTION_CLOSING);
  admission->count--;
}

void
ht_admission_open (struct ht_admission *admission,
                   struct ht_admitted *admitted, int64_t now)
{
  *admitted = (struct ht_admitted){ .state = HT_CONNECTION_NEW, .since = now };
  admitted->deadline = now + admission->options.idle_timeout_us;
  admitted->link.data = admitted;
  g_queue_push_tail_link (&admission->receiving, &admitted->link);
  admission->count++;
}

void
ht_admission_close (struct ht_admission *admission,
                    struct ht_admitted *admitted)
{
  if (admitted->state != HT_CONNECTION_CLOSING)
    ht_admission_begin_close (admission, admitted);
}

void
ht_admission_enter (struct ht_admission *admission,
                    struct ht_admitted *admitted,
                    enum ht_connection_state state, int64_t now)
{
  if (admitted->state == HT_CONNECTION_CLOSING)
    return;
  if (admitted->state == HT_CONNECTION_IDLE)
    admitted->since = now;
  admitted->deadline = now + state_timeout (admission, state);
  set_state (admission, admitted, state);
}

void
ht_admission_set_body (struct ht_admission *admission,
                       struct ht_admitted *admitted, size_t bytes)
{
  if (admitted->state != HT_CONNECTION_CLOSING)
    count_body (admission, admitted, HT_BODY_COST * bytes);
}

static struct ht_admitted *
oldest (const GQueue *list)
{
  return list->head != NULL ? list->head->data : NULL;
}

/* Return the connection that has been longest without completing its request
   among those with a body, or NULL.  */
static struct ht_admitted *
oldest_with_body (const struct ht_admission *admission)
{
  for (GList *link = admission->receiving.head; link != NULL;
       link = link->next)
    {
      struct ht_admitted *admitted = link->data;

      if (admitted->body_bytes > 0)
        return admitted;
    }
  return NULL;
}

struct ht_admitted *
ht_admission_next_victim (struct ht_admission *admission, int64_t now,
                          enum ht_rejection *reason)
{
  const struct ht_admission_options *options = &admission->options;
  struct ht_admitted *victim = NULL;

  if (admission->body_bytes > options->max_body_bytes)
    {
      *reason = HT_REJECTION_MEMORY;
      victim = oldest_with_body (admission);
    }
  if (victim == NULL && admission->count > options->max_connections)
    {
      struct ht_admitted *receiving = oldest (&admission->receiving);

      *reason = HT_REJECTION_CONNECTIONS;
      victim = oldest (&admission->idle);
      if (receiving != NULL
          && (victim == NULL
              || now - receiving->since >= options->stalled_after_us))
        victim = receiving;
    }
  if (victim != NULL)
    ht_admission_begin_close (admission, victim);
  return victim;
}

struct ht_admitted *
ht_admission_next_overdue (struct ht_admission *admission, int64_t now)
{
  struct ht_admitted *overdue = oldest (&admission->idle);

  if (overdue != NULL && overdue->deadline > now)
    overdue = NULL;
  for (GList *link = admission->receiving.head;
       link != NULL && overdue == NULL; link = link->next)
    {
      struct ht_admitted *admitted = link->data;

      if (admitted->deadline <= now)
        overdue = admitted;
    }
  if (overdue != NULL)
    ht_admission_begin_close (admission, overdue);
  return overdue;
}

GList *
ht_admission_list_unused (const struct ht_admission *admission, bool receiving)
{
  GList *list = g_list_copy (admission->idle.head);

  for (GList *link = admission->receiving.head; link != NULL;
       link = link->next)
    {
      const struct ht_admitted *admitted = link->data;

      if (receiving || admitted->state == HT_CONNECTION_NEW)
        list = g_list_prepend (list, link->data);
    }
  return list;
}

bool
ht_admission_may_wait (const struct ht_admission *admission,
                       const struct ht_admitted *admitted)
{
  return admission->waiting_body_bytes == 0 || admitted->body_bytes == 0
         || admission->waiting_body_bytes + admitted->body_bytes
                <= admission->options.max_body_bytes / 2;
}

unsigned
ht_admission_count (const struct ht_admission *admission)
{
  return admission->count;
}

size_t
ht_admission_body_bytes (const struct ht_admission *admission)
{
  return admission->body_bytes;
}

void
ht_admission_divide (struct ht_admission_options *options, size_t bytes,
                     size_t connection_bytes, unsigned limit,
                     size_t body_limit)
{
  size_t most = (bytes - bytes / 4) / connection_bytes;
  size_t needed = 2 * HT_BODY_COST * body_limit;
  size_t left;

  options->max_connections = (unsigned)CLAMP (most, 1, limit);
  left = bytes - MIN (bytes, options->max_connections * connection_bytes);
  options->max_body_bytes = MAX (left, needed);
}

struct ht_admission *
ht_admission_new (TALLOC_CTX *mem, const struct ht_admission_options *options)
{
  struct ht_admission *admission = talloc_zero (mem, struct ht_admission);

  admission->options = *options;
  g_queue_init (&admission->receiving);
  g_queue_init (&admission->idle);
  return admission;
}
