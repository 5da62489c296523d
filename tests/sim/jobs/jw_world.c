#include "jw_world.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* One way between any two.  */
#define LATENCY (1500)
#define STORE_LATENCY (4 * JB_MS)

struct event
{
  jb_time when;
  uint64_t serial;
  jw_happening *happening;
  void *data;
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->when != y->when)
    return x->when < y->when ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

void
jw_at (struct jw_world *world, jb_time when, jw_happening *happening,
       void *data)
{
  struct event *event = g_new0 (struct event, 1);

  event->when = MAX (when, world->now);
  event->serial = ++world->serial;
  event->happening = happening;
  event->data = talloc_steal (world, data);
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
}

/* Return when the next event is due.  */
static jb_time
next_due (const struct jw_world *world)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);

  if (g_sequence_iter_is_end (first))
    return JB_NEVER;
  return ((const struct event *)g_sequence_get (first))->when;
}

static void
play_next (struct jw_world *world)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);
  struct event *event = g_sequence_get (first);

  g_sequence_remove (first);
  world->now = MAX (world->now, event->when);
  event->happening (world, event->data);
  talloc_free (event->data);
  g_free (event);
}

void
jw_run (struct jw_world *world, jb_time duration)
{
  const struct jw_outside *outside = world->options.outside;
  jb_time end = world->now + duration;

  while (outside != NULL && world->now < end)
    {
      jb_time now
          = outside->wait (outside->context, MIN (next_due (world), end));

      world->now = MAX (world->now, now);
      while (next_due (world) <= world->now)
        play_next (world);
    }
  while (next_due (world) <= end)
    play_next (world);
  world->now = MAX (world->now, end);
}

void
jw_break (struct jw_world *world, const char *rule, const char *format, ...)
{
  char text[200];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (world->broken++ == 0)
    snprintf (world->first, sizeof world->first, "%s at %.3f s: %s", rule,
              (double)world->now / 1e6, text);
  if (world->options.verbose)
    printf ("%9.3f BROKEN %s: %s\n", (double)world->now / 1e6, rule, text);
}

bool
jw_chance (struct jw_world *world, uint32_t in_thousand)
{
  return in_thousand > 0
         && g_rand_int_range (world->random, 0, 1000) < (gint32)in_thousand;
}

/* ---- turns of hosts ---- */

struct turn
{
  struct jw_host *host;
  uint64_t serial;
};

static void take_turn (struct jw_host *host);

static void
turn_due (struct jw_world *world, void *data)
{
  struct turn *turn = data;

  (void)world;
  if (turn->host->host != NULL && turn->host->run_serial == turn->serial
      && !turn->host->frozen)
    take_turn (turn->host);
}

static void
take_turn (struct jw_host *host)
{
  struct jw_world *world = host->world;
  struct turn *turn;
  jb_time next;

  jb_host_wall (host->host, 0);
  next = jb_host_run (host->host, world->now);
  turn = talloc_zero (NULL, struct turn);
  turn->host = host;
  turn->serial = ++host->run_serial;
  jw_at (world, MIN (next, world->now + JB_SECOND), turn_due, turn);
}

/* ---- replies ---- */

struct reply
{
  struct jw_host *host;
  uint32_t life;
  uint64_t number;
  struct jb_reply reply;
};

static void
reply_due (struct jw_world *world, void *data)
{
  struct reply *reply = data;
  struct jw_host *host = reply->host;
  const struct jw_outside *outside = world->options.outside;

  if (outside != NULL)
    {
      outside->reply (outside->context, reply->number, &reply->reply);
      return;
    }
  if (host->host == NULL || host->life != reply->life)
    return;
  if (host->frozen)
    {
      /* It is read when the host wakes.  */
      struct reply *later = talloc_memdup (NULL, reply, sizeof *reply);

      talloc_steal (later, reply->reply.mem);
      jw_at (world, world->now + 50 * JB_MS, reply_due, later);
      return;
    }
  jb_host_reply (host->host, world->now, reply->number, &reply->reply);
  take_turn (host);
}

void
jw_reply (struct jw_host *host, uint32_t life, uint64_t number, jb_time when,
          struct jb_reply *reply)
{
  struct reply *data = talloc_zero (NULL, struct reply);

  data->host = host;
  data->life = life;
  data->number = number;
  data->reply = *reply;
  talloc_steal (data, reply->mem);
  jw_at (host->world, when, reply_due, data);
}

/* ---- orders ---- */

struct order
{
  struct jw_host *host;
  uint32_t life;
  uint64_t number;
  struct jb_order order;
  bool answered; /* its answer reaches the host */
  bool late;     /* it was held up */
};

static struct jb_row *
copy_rows (TALLOC_CTX *mem, const struct jb_row *rows, uint32_t count)
{
  struct jb_row *copies = talloc_array (mem, struct jb_row, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      copies[i] = rows[i];
      copies[i].table = talloc_strdup (copies, rows[i].table);
      copies[i].part = talloc_strdup (copies, rows[i].part);
      copies[i].key = talloc_strdup (copies, rows[i].key);
      copies[i].value
          = ba_bytes_copy (copies, rows[i].value.data, rows[i].value.len);
    }
  return copies;
}

static void
copy_order (struct order *to, const struct jb_order *from)
{
  struct jb_order *order = &to->order;

  *order = *from;
  order->target.address = talloc_strdup (to, from->target.address);
  order->target.instance = talloc_strdup (to, from->target.instance);
  switch (from->kind)
    {
    case JB_ORDER_WRITE:
      order->u.write.expected = copy_rows (to, from->u.write.expected,
                                           from->u.write.expected_count);
      order->u.write.set
          = copy_rows (to, from->u.write.set, from->u.write.set_count);
      order->u.write.removed
          = copy_rows (to, from->u.write.removed, from->u.write.removed_count);
      break;
    case JB_ORDER_READ:
    case JB_ORDER_LIST_HOSTS:
    case JB_ORDER_LIST_BACKENDS:
      order->u.read.table = talloc_strdup (to, from->u.read.table);
      order->u.read.part = talloc_strdup (to, from->u.read.part);
      order->u.read.from = talloc_strdup (to, from->u.read.from);
      break;
    case JB_ORDER_START:
      order->u.start.task = talloc_strdup (to, from->u.start.task);
      order->u.start.spec = talloc_strdup (to, from->u.start.spec);
      order->u.start.checkpoint = talloc_strdup (to, from->u.start.checkpoint);
      order->u.start.ticket = talloc_strdup (to, from->u.start.ticket);
      break;
    case JB_ORDER_STOP:
      order->u.stop.task = talloc_strdup (to, from->u.stop.task);
      break;
    case JB_ORDER_ADVISE:
      {
        const char **names = talloc_array (to, const char *,
                                           from->u.advise.backend_count + 1);

        for (uint32_t i = 0; i < from->u.advise.backend_count; i++)
          names[i] = talloc_strdup (to, from->u.advise.backends[i]);
        order->u.advise.backends = names;
        order->u.advise.step = talloc_strdup (to, from->u.advise.step);
        break;
      }
    case JB_ORDER_PACE:
      order->u.pace.task = talloc_strdup (to, from->u.pace.task);
      break;
    case JB_ORDER_MOVE_HOST:
    case JB_ORDER_MAINTAIN_HOST:
      order->u.host.host = talloc_strdup (to, from->u.host.host);
      order->u.host.pool = talloc_strdup (to, from->u.host.pool);
      order->u.host.holder = talloc_strdup (to, from->u.host.holder);
      break;
    default:
      break;
    }
}

static bool
is_store_order (enum jb_order_kind kind)
{
  return kind <= JB_ORDER_REPORT_WAVE;
}

static bool
is_backend_order (enum jb_order_kind kind)
{
  return kind >= JB_ORDER_START && kind <= JB_ORDER_PACE;
}

static void
order_arrives (struct jw_world *world, void *data)
{
  struct order *order = data;
  struct jb_reply reply = { 0 };
  jb_time back = world->now + LATENCY;

  if (order->order.kind == JB_ORDER_HOLD && order->answered
      && jw_backend_waits (world, order->host, order->number, &order->order))
    return;
  world->late = order->late;
  reply.mem = talloc_new (NULL);
  if (is_store_order (order->order.kind))
    {
      jw_store_order (world, &order->order, &reply);
      back = world->now + STORE_LATENCY;
      if (order->order.kind == JB_ORDER_WATCH && reply.row_count == 0
          && order->order.u.watch.after != 0)
        back = world->now + order->order.u.watch.wait_ms * JB_MS / 4;
    }
  else if (is_backend_order (order->order.kind))
    jw_backend_order (world, &order->order, &reply);
  else
    jw_fleet_order (world, &order->order, &reply);
  if (order->answered && reply.result != JB_UNKNOWN)
    jw_reply (order->host, order->life, order->number, back, &reply);
  else
    talloc_free (reply.mem);
}

/* Outside, who writes to a pool's rows is taken for its holder.  */
static void
note_writer (struct jw_host *host, const struct jb_order *order)
{
  const char *part = NULL;
  unsigned pool;

  if (order->kind == JB_ORDER_WRITE && order->u.write.set_count > 0)
    part = order->u.write.set[0].part;
  if (part != NULL && sscanf (part, "pool/pool-%u", &pool) == 1
      && pool < JW_MAX_POOLS)
    host->world->writers[pool] = (int)host->index;
}

void
jw_submit_order (void *context, uint64_t number, const struct jb_order *from)
{
  struct jw_host *host = context;
  struct jw_world *world = host->world;
  bool to_store = is_store_order (from->kind);
  bool cut = to_store ? host->cut_store || world->store_down
                      : is_backend_order (from->kind) && host->cut_backends;
  uint32_t chance = to_store ? world->chances.store_lost
                    : is_backend_order (from->kind)
                        ? world->chances.backend_lost
                        : 0;
  struct order *order = talloc_zero (NULL, struct order);
  struct jb_reply lost = { .result = JB_UNKNOWN };
  jb_time arrival = world->now + (to_store ? STORE_LATENCY : LATENCY);

  note_writer (host, from);
  order->host = host;
  order->life = host->life;
  order->number = number;
  order->answered = !cut && !jw_chance (world, chance);
  copy_order (order, from);
  /* Whatever happens, silence ends with the order's time.  An answer that
     came before makes this one void.  */
  lost.mem = talloc_new (NULL);
  jw_reply (host, host->life, number, world->now + from->timeout_ms * JB_MS,
            &lost);
  if (!order->answered && (cut || jw_chance (world, 500)))
    {
      talloc_free (order);
      return;
    }
  /* Some of what is not answered is carried out late.  */
  if (!order->answered && jw_chance (world, 500))
    {
      arrival += g_rand_int_range (world->random, 500, 6000) * JB_MS;
      order->late = true;
    }
  jw_at (world, arrival, order_arrives, order);
}

/* ---- messages ---- */

struct letter
{
  struct jw_host *to;
  uint32_t life;
  uint64_t from;
  struct ba_bytes body;
};

static void
letter_arrives (struct jw_world *world, void *data)
{
  struct letter *letter = data;

  if (letter->to->host == NULL || letter->to->life != letter->life
      || letter->to->frozen || letter->to->cut_peers)
    return;
  if (!jb_host_message (letter->to->host, world->now, letter->from,
                        letter->body))
    jw_break (world, "MESSAGE", "a message can't be read");
  take_turn (letter->to);
}

static void
send_letter (void *context, uint64_t member, struct ba_bytes body)
{
  struct jw_host *host = context;
  struct jw_world *world = host->world;

  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      struct jw_host *to = &world->hosts[i];
      struct letter *letter;

      if (to->host == NULL || to->incarnation != member || host->cut_peers)
        continue;
      letter = talloc_zero (NULL, struct letter);
      letter->to = to;
      letter->life = to->life;
      letter->from = host->incarnation;
      letter->body = ba_bytes_copy (letter, body.data, body.len);
      jw_at (world,
             world->now + LATENCY
                 + (world->options.overtaking
                        ? g_rand_int_range (world->random, 0, LATENCY)
                        : 0),
             letter_arrives, letter);
    }
}

static void
set_members (void *context, const struct jb_member_address *members,
             uint32_t count)
{
  (void)context;
  (void)members;
  (void)count;
}

static void
write_log (void *context, enum jb_level level, const char *event,
           const struct jb_log_field *fields, uint32_t count)
{
  struct jw_host *host = context;

  if (!host->world->options.verbose)
    return;
  (void)level;
  printf ("%9.3f %s %s", (double)host->world->now / 1e6, host->name, event);
  for (uint32_t i = 0; i < count; i++)
    printf (" %s=%s", fields[i].name, fields[i].value);
  printf ("\n");
}

/* ---- clients ---- */

struct jw_call
{
  uint64_t number;
  struct jw_host *host;
  uint32_t life;
  enum jb_call_kind kind;
  struct jw_job *job;
};

static void send_call (struct jw_world *world, struct jw_job *job,
                       enum jb_call_kind kind);

struct again
{
  struct jw_job *job;
  enum jb_call_kind kind;
};

static void
call_again (struct jw_world *world, void *data)
{
  struct again *again = data;

  send_call (world, again->job, again->kind);
}

static void
retry_call (struct jw_world *world, struct jw_job *job, enum jb_call_kind kind,
            jb_time pause)
{
  struct again *again;

  if (++job->attempts > 40)
    return;
  again = talloc_zero (NULL, struct again);
  again->job = job;
  again->kind = kind;
  jw_at (world, world->now + pause, call_again, again);
}

/* The host of a call died, or froze, before it answered.  */
static void
call_lost (struct jw_world *world, void *data)
{
  uint64_t *number = data;
  struct jw_call *call = g_hash_table_lookup (world->calls, number);

  if (call == NULL)
    return;
  g_hash_table_remove (world->calls, number);
  if (call->kind == JB_CALL_SUBMIT)
    call->job->only_refused = false;
  if (call->kind != JB_CALL_QUERY)
    retry_call (world, call->job, call->kind, 100 * JB_MS);
  talloc_free (call);
}

static void
send_call (struct jw_world *world, struct jw_job *job, enum jb_call_kind kind)
{
  const struct jw_outside *outside = world->options.outside;
  uint32_t first = g_rand_int_range (world->random, 0, world->options.hosts);
  struct jw_host *host = NULL;
  struct jw_call *call;
  struct jb_call message = { .kind = kind,
                             .host = "queues.example",
                             .path = job->path,
                             .key = job->desc->org,
                             .deadline_ms = 3000,
                             .received_ms = world->now / JB_MS };

  for (uint32_t i = 0; i < world->options.hosts && host == NULL; i++)
    {
      struct jw_host *h = &world->hosts[(first + i) % world->options.hosts];

      if ((h->host != NULL || h->up) && !h->frozen)
        host = h;
    }
  if (host == NULL)
    {
      retry_call (world, job, kind, 300 * JB_MS);
      return;
    }
  call = talloc_zero (world, struct jw_call);
  call->number = ++world->last_call;
  call->host = host;
  call->life = host->life;
  call->kind = kind;
  call->job = job;
  g_hash_table_insert (world->calls, &call->number, call);
  jw_at (world, world->now + 3200 * JB_MS, call_lost,
         talloc_memdup (NULL, &call->number, sizeof call->number));
  if (kind == JB_CALL_SUBMIT)
    {
      message.desc = talloc_zero (call, struct jb_desc);
      ba_io_copy (message.desc, jb_desc_code, job->desc, message.desc);
    }
  if (outside != NULL)
    {
      outside->call (outside->context, call->number, host->index, &message);
      return;
    }
  jb_host_call (host->host, world->now, call->number, &message);
  take_turn (host);
}

static void
take_state (struct jw_world *world, struct jw_job *job,
            const struct jb_answer *answer)
{
  job->shown = true;
  job->state = answer->state;
  if (answer->state == JB_JOB_FAILED && !job->hopeless && !world->sick)
    jw_break (world, "LOST", "job %s is shown as failed", job->desc->id);
  if (answer->state != JB_JOB_COMPLETED)
    return;
  for (uint32_t k = 0; k < MAX (job->desc->times, 1); k++)
    for (uint32_t i = 0; i < job->desc->step_count; i++)
      for (uint32_t j = 0; j < job->desc->steps[i].count; j++)
        {
          char name[64];

          snprintf (name, sizeof name, "%s.%u.%u.%u", job->desc->id, k, i, j);
          if (!jw_task (world, name)->done)
            jw_break (world, "MIXED", "%s is not done", name);
        }
}

void
jw_answer (struct jw_world *world, uint64_t number,
           const struct jb_answer *answer)
{
  struct jw_call *call = g_hash_table_lookup (world->calls, &number);
  struct jw_job *job;

  if (call == NULL)
    return;
  g_hash_table_remove (world->calls, &number);
  job = call->job;
  job->answered_at = world->now;
  switch (answer->kind)
    {
    case JB_ANSWER_ACCEPTED:
      job->accepted = true;
      job->only_refused = false;
      break;
    case JB_ANSWER_STATE:
      take_state (world, job, answer);
      break;
    case JB_ANSWER_CANCELLED:
      job->cancelled = world->now;
      break;
    case JB_ANSWER_NO_JOB:
      job->gone = true;
      if (job->accepted && call->kind == JB_CALL_QUERY && job->cancelled == 0
          && !job->cancel_sent)
        jw_break (world, "LOST", "job %s is not known", job->desc->id);
      break;
    case JB_ANSWER_REFUSED:
    case JB_ANSWER_UNAVAILABLE:
      if (call->kind != JB_CALL_QUERY)
        retry_call (world, job, call->kind, 400 * JB_MS);
      break;
    case JB_ANSWER_UNKNOWN:
      if (call->kind == JB_CALL_SUBMIT)
        job->only_refused = false;
      if (call->kind != JB_CALL_QUERY)
        retry_call (world, job, call->kind, 100 * JB_MS);
      break;
    default:
      jw_break (world, "ANSWER", "job %s was answered %d", job->desc->id,
                answer->kind);
      break;
    }
  talloc_free (call);
}

static void
give_answer (void *context, uint64_t number, const struct jb_answer *answer)
{
  const struct jw_host *host = context;

  jw_answer (host->world, number, answer);
}

static const struct jb_effects effects = { .submit = jw_submit_order,
                                           .send = send_letter,
                                           .members = set_members,
                                           .answer = give_answer,
                                           .log = write_log };

const char *
jw_submit (struct jw_world *world, const struct jw_job_options *options)
{
  struct jw_job *job = talloc_zero (world, struct jw_job);
  struct jb_desc *desc = talloc_zero (job, struct jb_desc);

  job->desc = desc;
  job->pool = options->pool;
  job->only_refused = true;
  job->hopeless = options->hopeless;
  desc->id = talloc_asprintf (desc, "%08x%08x", g_rand_int (world->random),
                              g_rand_int (world->random));
  desc->queue = talloc_asprintf (desc, "queue-%u", options->pool);
  desc->org = talloc_strdup (desc, options->key ? options->key : "key-0");
  desc->spec = talloc_asprintf (desc, "%d %d", (int)options->ms,
                                options->lasts      ? -1
                                : options->hopeless ? 1
                                                    : 0);
  desc->step_count = options->steps;
  desc->steps = talloc_zero_array (desc, struct jb_step, options->steps);
  for (uint32_t i = 0; i < options->steps; i++)
    {
      struct jb_step *step = &desc->steps[i];

      step->count = options->width;
      step->amount.cpu = options->cpu;
      step->amount.memory = 100;
      step->estimate_ms = options->ms;
      step->lasts = options->lasts;
      step->may_miss = options->may_miss;
      step->gang = options->gang;
      step->apart = options->lasts ? 1 : 0;
      step->after = talloc_zero_array (desc, uint32_t, 1);
      step->after_count = i > 0 ? 1 : 0;
      step->after[0] = i > 0 ? i - 1 : 0;
    }
  desc->times = options->times;
  desc->interval_ms = options->interval_ms;
  desc->first_ms = world->now / JB_MS + 500;
  job->path = talloc_asprintf (job, "/q%u/%s", options->pool, desc->id);
  g_hash_table_insert (world->jobs, desc->id, job);
  send_call (world, job, JB_CALL_SUBMIT);
  return desc->id;
}

struct jw_job *
jw_job (struct jw_world *world, const char *id)
{
  return g_hash_table_lookup (world->jobs, id);
}

void
jw_cancel (struct jw_world *world, const char *id)
{
  struct jw_job *job = jw_job (world, id);

  job->cancel_sent = true;
  job->attempts = 0;
  send_call (world, job, JB_CALL_CANCEL);
}

void
jw_ask_all (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct jw_job *)value)->accepted)
      send_call (world, value, JB_CALL_QUERY);
}

bool
jw_all_ended (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_job *job = value;

      if (job->accepted && !job->cancel_sent && !jb_desc_lasts (job->desc)
          && (!job->shown || job->state < JB_JOB_COMPLETED))
        return false;
    }
  return true;
}

void
jw_check_finished (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  jw_ask_all (world);
  jw_run (world, 3 * JB_SECOND);
  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jw_job *job = value;
      bool lasts = jb_desc_lasts (job->desc);

      if (job->started && job->only_refused)
        jw_break (world, "REFUSED", "job %s started", job->desc->id);
      if (!job->accepted || job->cancel_sent)
        continue;
      if (!job->shown)
        jw_break (world, "LOST", "job %s: no answer", job->desc->id);
      else if (!lasts && job->state != JB_JOB_COMPLETED && !job->hopeless
               && !(world->sick && job->state == JB_JOB_FAILED))
        jw_break (world, "LOST", "job %s is %s", job->desc->id,
                  jb_job_state_name (job->state));
      else if (lasts
               && jw_running (world, job->desc->id)
                      < job->desc->steps[0].count)
        jw_break (world, "LOST", "job %s: %u of %u tasks at work",
                  job->desc->id, jw_running (world, job->desc->id),
                  job->desc->steps[0].count);
    }
}

/* ---- hosts ---- */

void
jw_host_start (struct jw_world *world, uint32_t index)
{
  struct jw_host *host = &world->hosts[index];
  struct jb_host_options options = { .name = host->name,
                                     .zone = "zone",
                                     .address = host->name,
                                     .bounds = { .longest_lease_ms = 6000,
                                                 .stop_ms = 500,
                                                 .gang_timeout_ms = 3000,
                                                 .notice_ms = 4500,
                                                 .maintenance_ms = 2000,
                                                 .move_ms = 1500,
                                                 .order_lease_ms = 3000,
                                                 .harm_ms = 4000,
                                                 .status_ms = 120000,
                                                 .remote_factor = 1.5,
                                                 .host_orders_per_s = 64,
                                                 .off = world->options.off } };

  if (host->host != NULL || host->up)
    return;
  host->life++;
  host->frozen = false;
  if (world->options.outside != NULL)
    {
      host->up = true;
      world->options.outside->start (world->options.outside->context, index);
      return;
    }
  host->incarnation = ((uint64_t)index << 32) + host->life + 1;
  options.incarnation = host->incarnation;
  host->host = jb_host_new (world, world->now, &options, &effects, host);
  take_turn (host);
}

/* Outside, a signal does what is done to hosts in the world.  */
static void
send_signal (const struct jw_host *host, int number)
{
  const struct jw_outside *outside = host->world->options.outside;

  if (outside != NULL && host->up)
    outside->signal (outside->context, host->index, number);
}

void
jw_host_kill (struct jw_world *world, uint32_t index)
{
  struct jw_host *host = &world->hosts[index];

  send_signal (host, SIGKILL);
  host->up = false;
  TALLOC_FREE (host->host);
  host->life++;
}

struct stopping
{
  struct jw_host *host;
  uint32_t life;
};

static void
stopped (struct jw_world *world, void *data)
{
  struct stopping *stopping = data;

  if (stopping->host->life == stopping->life)
    jw_host_kill (world, stopping->host->index);
}

void
jw_host_stop (struct jw_world *world, uint32_t index)
{
  struct jw_host *host = &world->hosts[index];
  struct stopping *stopping;

  if ((host->host == NULL && !host->up) || host->frozen)
    return;
  send_signal (host, SIGTERM);
  if (host->host != NULL)
    {
      jb_host_stop (host->host, world->now);
      take_turn (host);
    }
  stopping = talloc_zero (NULL, struct stopping);
  stopping->host = host;
  stopping->life = host->life;
  jw_at (world, world->now + 2500 * JB_MS, stopped, stopping);
}

void
jw_host_freeze (struct jw_world *world, uint32_t index, bool frozen)
{
  struct jw_host *host = &world->hosts[index];

  host->frozen = frozen;
  send_signal (host, frozen ? SIGSTOP : SIGCONT);
  if (!frozen && host->host != NULL)
    take_turn (host);
}

int
jw_holder (struct jw_world *world, uint32_t pool)
{
  char name[16];

  if (world->options.outside != NULL)
    return world->writers[pool];
  snprintf (name, sizeof name, "pool-%u", pool);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    if (world->hosts[i].host != NULL
        && jb_host_holds (world->hosts[i].host, name))
      return (int)i;
  return -1;
}

static void
make_catalog (struct jw_world *world)
{
  struct jb_catalog *catalog = talloc_zero (world, struct jb_catalog);
  uint32_t pools = world->options.pools;

  catalog->version = 1;
  catalog->queue_count = pools;
  catalog->queues = talloc_zero_array (catalog, struct jb_queue, pools);
  catalog->pool_count = pools + 1;
  catalog->pools
      = talloc_zero_array (catalog, struct jb_pool_settings, pools + 1);
  for (uint32_t i = 0; i <= pools; i++)
    {
      catalog->pools[i].name = talloc_asprintf (catalog, "pool-%u", i);
      catalog->pools[i].guards = true;
      catalog->pools[i].standby = i == pools;
      if (i == pools)
        continue;
      catalog->queues[i] = (struct jb_queue){
        .name = talloc_asprintf (catalog, "queue-%u", i),
        .host = talloc_strdup (catalog, "queues.example"),
        .prefix = talloc_asprintf (catalog, "/q%u/", i),
        .pool = catalog->pools[i].name,
        .max_attempts = 3,
        .stretch_milli = 1600,
        .target_ms = 600,
        .advised = world->options.advised
      };
    }
  catalog->org_count = 2;
  catalog->orgs = talloc_zero_array (catalog, struct jb_org, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      catalog->orgs[i].name = talloc_asprintf (catalog, "org-%u", i);
      catalog->orgs[i].keys = talloc_zero_array (catalog, char *, 1);
      catalog->orgs[i].keys[0] = talloc_asprintf (catalog, "key-%u", i);
      catalog->orgs[i].key_count = 1;
      catalog->orgs[i].weight = 1;
      catalog->orgs[i].cap.cpu = world->options.org_cap;
    }
  world->catalog = catalog;
}

void
jw_configure (struct jw_world *world)
{
  world->catalog->version++;
  world->catalog_row = ++world->version;
}

struct jw_world *
jw_world_new (const struct jw_options *options)
{
  struct jw_world *world = talloc_zero (NULL, struct jw_world);

  world->options = *options;
  world->now = 1000 * JB_SECOND;
  if (options->outside != NULL)
    world->now = options->outside->wait (options->outside->context, 0);
  for (uint32_t i = 0; i < JW_MAX_POOLS; i++)
    world->writers[i] = -1;
  world->events = g_sequence_new (NULL);
  world->random = g_rand_new_with_seed (options->seed);
  world->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  world->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  world->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  world->backends = g_ptr_array_new ();
  world->fleet = g_ptr_array_new ();
  make_catalog (world);
  jw_store_init (world);
  jw_fleet_init (world);
  for (uint32_t i = 0; i < options->hosts; i++)
    {
      struct jw_host *host = &world->hosts[i];

      host->world = world;
      host->index = i;
      snprintf (host->name, sizeof host->name, "host-%u", i);
      jw_host_start (world, i);
    }
  return world;
}

void
jw_world_free (struct jw_world *world)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (world->events);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    g_free (g_sequence_get (iter));
  g_sequence_free (world->events);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      send_signal (&world->hosts[i], SIGKILL);
      TALLOC_FREE (world->hosts[i].host);
    }
  for (guint i = 0; i < world->backends->len; i++)
    {
      struct jw_backend *backend = g_ptr_array_index (world->backends, i);

      g_ptr_array_free (backend->runs, TRUE);
      g_ptr_array_free (backend->ended, TRUE);
      g_ptr_array_free (backend->waiting, TRUE);
      g_hash_table_destroy (backend->barred);
    }
  g_ptr_array_free (world->backends, TRUE);
  g_ptr_array_free (world->fleet, TRUE);
  g_ptr_array_free (world->rows, TRUE);
  g_hash_table_destroy (world->tasks);
  g_hash_table_destroy (world->jobs);
  g_hash_table_destroy (world->calls);
  g_rand_free (world->random);
  talloc_free (world);
}
