#include "jw_soak.h"

#include <stdio.h>

/* Length of the part with faults, and of the one after it.  */
#define TROUBLED (25 * JB_SECOND)
#define CALM (80 * JB_SECOND)

/* In real time the faults take less long, and the calm part ends when nothing
   is left to do; not before all that was switched off is on again.  */
#define OUTSIDE_TROUBLED (12 * JB_SECOND)
#define OUTSIDE_CALM (12 * JB_SECOND)
#define ASK_PERIOD (2 * JB_SECOND)

/* A host short of processor time stands still, then works, for up to.  */
#define MOST_STALL_MS 1500
#define MOST_WORK_MS 400

enum
{
  MOST_LASTING = 3
};

/* What is mended again.  */
struct mending
{
  enum mending_kind
  {
    MEND_HOST,
    MEND_FREEZE,
    MEND_CUT_STORE,
    MEND_CUT_PEERS,
    MEND_CUT_BACKENDS,
    MEND_STORE,
    MEND_STORE_CHANCE,
    MEND_BACKEND_CHANCE,
    MEND_BACKEND
  } kind;
  uint32_t index;
  struct jw_backend *backend;
};

static void
mend (struct jw_world *world, void *data)
{
  struct mending *mending = data;
  struct jw_host *host = &world->hosts[mending->index];

  switch (mending->kind)
    {
    case MEND_HOST:
      jw_host_start (world, mending->index);
      break;
    case MEND_FREEZE:
      jw_host_freeze (world, mending->index, false);
      break;
    case MEND_CUT_STORE:
      host->cut_store = false;
      break;
    case MEND_CUT_PEERS:
      host->cut_peers = false;
      break;
    case MEND_CUT_BACKENDS:
      host->cut_backends = false;
      break;
    case MEND_STORE:
      world->store_down = false;
      break;
    case MEND_STORE_CHANCE:
      world->chances.store_lost = 0;
      break;
    case MEND_BACKEND_CHANCE:
      world->chances.backend_lost = 0;
      break;
    case MEND_BACKEND:
      mending->backend->dark = false;
      mending->backend->unlisted = false;
      mending->backend->fails_all = false;
      break;
    }
}

static void
mend_later (struct jw_world *world, enum mending_kind kind, uint32_t index,
            struct jw_backend *backend, int least_ms, int most_ms)
{
  struct mending *mending = talloc_zero (NULL, struct mending);

  mending->kind = kind;
  mending->index = index;
  mending->backend = backend;
  jw_at (world,
         world->now
             + g_rand_int_range (world->random, least_ms, most_ms) * JB_MS,
         mend, mending);
}

/* A host that gets its processor time in pieces.  What it draws is its own, so
   that a seed's faults are the same with it and without.  */
struct stutter
{
  GRand *random;
  uint32_t index;
  bool stands;
  jb_time until;
};

static int
stutter_destroy (struct stutter *stutter)
{
  g_rand_free (stutter->random);
  return 0;
}

static void
stutter_on (struct jw_world *world, void *data)
{
  struct stutter *stutter = *(struct stutter **)data;
  struct stutter **next;
  int most;

  stutter->stands = !stutter->stands && world->now < stutter->until;
  jw_host_freeze (world, stutter->index, stutter->stands);
  if (world->now >= stutter->until)
    return;
  next = talloc (NULL, struct stutter *);
  *next = stutter;
  most = stutter->stands ? MOST_STALL_MS : MOST_WORK_MS;
  jw_at (world,
         world->now + g_rand_int_range (stutter->random, 20, most) * JB_MS,
         stutter_on, next);
}

static void
begin_stutter (struct jw_world *world, uint32_t seed, jb_time until)
{
  struct stutter *stutter = talloc_zero (world, struct stutter);
  struct stutter **first = talloc (NULL, struct stutter *);

  stutter->random = g_rand_new_with_seed (seed);
  stutter->index = seed % world->options.hosts;
  stutter->until = until;
  talloc_set_destructor (stutter, stutter_destroy);
  *first = stutter;
  jw_at (world, world->now, stutter_on, first);
}

static uint32_t
draw (struct jw_world *world, uint32_t below)
{
  return (uint32_t)g_rand_int_range (world->random, 0, (gint32)below);
}

/* Return a host: often one that holds something.  */
static uint32_t
draw_host (struct jw_world *world)
{
  int holder = jw_holder (world, draw (world, world->options.pools));

  if (holder >= 0 && jw_chance (world, 600))
    return (uint32_t)holder;
  return draw (world, world->options.hosts);
}

static void
trouble_host (struct jw_world *world)
{
  uint32_t index = draw_host (world);
  struct jw_host *host = &world->hosts[index];

  switch (draw (world, 7))
    {
    case 0:
    case 1:
      jw_host_kill (world, index);
      mend_later (world, MEND_HOST, index, NULL, 600, 3000);
      break;
    case 2:
      jw_host_stop (world, index);
      mend_later (world, MEND_HOST, index, NULL, 2600, 4000);
      break;
    case 3:
      jw_host_freeze (world, index, true);
      mend_later (world, MEND_FREEZE, index, NULL, 500, 5000);
      break;
    case 4:
      host->cut_store = true;
      mend_later (world, MEND_CUT_STORE, index, NULL, 500, 6000);
      break;
    case 5:
      host->cut_peers = true;
      mend_later (world, MEND_CUT_PEERS, index, NULL, 500, 6000);
      break;
    default:
      host->cut_backends = true;
      mend_later (world, MEND_CUT_BACKENDS, index, NULL, 500, 5000);
      break;
    }
}

static void
trouble_backend (struct jw_world *world)
{
  struct jw_backend *backend
      = jw_backend_of (world, draw (world, world->options.pools),
                       draw (world, world->options.backends));

  if (backend == NULL)
    return;
  switch (draw (world, 5))
    {
    case 0:
      jw_backend_crash (world, backend, false);
      break;
    case 1:
    case 2:
      backend->dark = true;
      mend_later (world, MEND_BACKEND, 0, backend, 1000, 7000);
      break;
    case 3:
      backend->unlisted = true;
      mend_later (world, MEND_BACKEND, 0, backend, 1000, 6000);
      break;
    default:
      backend->fails_all = true;
      world->sick = true;
      mend_later (world, MEND_BACKEND, 0, backend, 500, 2000);
      break;
    }
}

static void
trouble_all (struct jw_world *world)
{
  switch (draw (world, 4))
    {
    case 0:
      world->store_down = true;
      mend_later (world, MEND_STORE, 0, NULL, 500, 5000);
      break;
    case 1:
      world->chances.store_lost = 50 + draw (world, 300);
      mend_later (world, MEND_STORE_CHANCE, 0, NULL, 1000, 5000);
      break;
    case 2:
      world->chances.backend_lost = 20 + draw (world, 150);
      mend_later (world, MEND_BACKEND_CHANCE, 0, NULL, 1000, 5000);
      break;
    default:
      for (uint32_t i = 0; i < world->options.hosts; i++)
        {
          jw_host_kill (world, i);
          mend_later (world, MEND_HOST, i, NULL, 500, 1500);
        }
      break;
    }
}

static void
hand_in (struct jw_world *world, uint32_t *lasting)
{
  struct jw_job_options job = { .pool = draw (world, world->options.pools),
                                .steps = 1 + draw (world, 3),
                                .width = 1 + draw (world, 5),
                                .cpu = 1000,
                                .ms = 200 + draw (world, 1200) };
  const char *id;

  switch (draw (world, 14))
    {
    case 0:
      job.hopeless = true;
      break;
    case 1:
      /* Lasting work must leave room for the rest.  */
      if (++*lasting > MOST_LASTING)
        break;
      job.lasts = true;
      job.steps = 1;
      job.width = 3;
      job.may_miss = 1;
      break;
    case 2:
      job.gang = true;
      job.steps = 1;
      break;
    case 3:
      job.times = 3;
      job.steps = 1;
      job.interval_ms = 1500;
      break;
    default:
      break;
    }
  if (jw_chance (world, 300))
    job.key = "key-1";
  id = jw_submit (world, &job);
  if (jw_chance (world, 100) && !job.lasts)
    {
      jw_run (world, draw (world, 800) * JB_MS);
      jw_cancel (world, id);
    }
}

static void
calm_down (struct jw_world *world)
{
  jb_time end = world->now + CALM;

  if (world->options.outside == NULL)
    {
      jw_run (world, CALM);
      return;
    }
  jw_run (world, OUTSIDE_CALM);
  while (world->now < end && !jw_all_ended (world))
    {
      jw_ask_all (world);
      jw_run (world, ASK_PERIOD);
    }
}

void
jw_soak_run (struct jw_soak *soak)
{
  struct jw_options options = { .seed = soak->seed,
                                .hosts = 3 + soak->seed % 4,
                                .pools = 2,
                                .backends = 4,
                                .backend_cpu = 12000,
                                .org_cap = soak->seed % 3 == 0 ? 26000 : 0,
                                .off = soak->off,
                                .outside = soak->outside,
                                .network = soak->network,
                                .port = soak->port,
                                .verbose = soak->verbose };
  struct jw_world *world = jw_world_new (&options);
  uint32_t lasting = 0;
  jb_time end;

  if (soak->made != NULL)
    soak->made (soak->made_for, world);
  jw_run (world, 4 * JB_SECOND);
  end = world->now + (soak->outside != NULL ? OUTSIDE_TROUBLED : TROUBLED);
  if (soak->seed % 2 == 0)
    jw_wave (world, 2, 20000);
  if (soak->stalls)
    begin_stutter (world, soak->seed, end);
  while (world->now < end)
    {
      uint32_t kind = draw (world, 100);

      if (kind < 70)
        hand_in (world, &lasting);
      else if (kind < 86)
        trouble_host (world);
      else if (kind < 95)
        trouble_backend (world);
      else if (kind < 98)
        trouble_all (world);
      else
        jw_configure (world);
      jw_run (world, draw (world, 160) * JB_MS);
    }
  calm_down (world);
  jw_check_finished (world);
  soak->broken = world->broken;
  soak->starts = world->starts;
  soak->jobs = g_hash_table_size (world->jobs);
  g_strlcpy (soak->first, world->first, sizeof soak->first);
  if (soak->made != NULL)
    soak->made (soak->made_for, NULL);
  jw_world_free (world);
}
