#include "jw_mix.h"

enum
{
  MORE_HOSTS = 8,
  SMALL_HOSTS = 2
};

/* The late grants of a platform are of one kind.  */
#define LATE_GRANTS                                                           \
  (1U << JW_KIND_LATE_GRANTS_UNTIL | 1U << JW_KIND_LATE_GRANTS_FROM_ARRIVAL)

/* Find the pair with number INDEX and return it as a set, or 0 if there are
   fewer pairs.  */
static uint32_t
find_pair (uint32_t allowed, uint32_t index)
{
  for (uint32_t i = 0; i < JW_KIND_COUNT; i++)
    for (uint32_t j = i + 1; j < JW_KIND_COUNT; j++)
      {
        uint32_t pair = 1U << i | 1U << j;

        if ((pair & ~allowed) == 0 && pair != LATE_GRANTS && index-- == 0)
          return pair;
      }
  return 0;
}

uint32_t
jw_mix_pair_count (uint32_t allowed)
{
  uint32_t count = 0;

  while (find_pair (allowed, count) != 0)
    count++;
  return count;
}

static void
play_kind (struct jw_soak *soak, enum jw_kind kind)
{
  switch (kind)
    {
    case JW_KIND_RESTARTS:
      soak->restart_backends = true;
      break;
    case JW_KIND_LATE_GRANTS_UNTIL:
      soak->late_leases = JW_LATE_LEASES_UNTIL;
      break;
    case JW_KIND_LATE_GRANTS_FROM_ARRIVAL:
      soak->late_leases = JW_LATE_LEASES_FROM_ARRIVAL;
      break;
    case JW_KIND_STALLS:
      soak->stall_one_host = true;
      break;
    case JW_KIND_EVACUATIONS:
      soak->evacuate_zones = true;
      break;
    case JW_KIND_GROUP_CUTS:
      soak->cut_groups = true;
      break;
    case JW_KIND_QUEUE_MOVES:
      soak->move_queues = true;
      break;
    case JW_KIND_NO_GUARD:
      soak->no_overload_guard = true;
      break;
    case JW_KIND_SMALL_HOSTS:
      soak->small_hosts = SMALL_HOSTS;
      break;
    case JW_KIND_MORE_HOSTS:
      soak->more_hosts = MORE_HOSTS;
      break;
    case JW_KIND_SPECULATIVE:
      soak->speculative_steps = true;
      break;
    case JW_KIND_LOOKAHEAD:
      soak->lookahead = true;
      break;
    case JW_KIND_SIGNALS:
      soak->signal_series = true;
      break;
    case JW_KIND_SLOW_REPLIES:
      soak->slow_replies = true;
      break;
    case JW_KIND_COUNT:
      break;
    }
}

void
jw_mix_kinds (struct jw_soak *soak, uint32_t allowed, uint32_t count)
{
  uint32_t pair_count = jw_mix_pair_count (allowed);
  GRand *random;
  uint32_t kinds;

  if (pair_count == 0)
    return;
  kinds = find_pair (allowed, soak->seed % pair_count);
  random = g_rand_new_with_seed (soak->seed);
  while ((uint32_t)__builtin_popcount (kinds) < count)
    {
      uint32_t rest = allowed & ~kinds;

      if ((kinds & LATE_GRANTS) != 0)
        rest &= ~LATE_GRANTS;
      if (rest == 0)
        break;
      kinds |= rest & 1U << g_rand_int_range (random, 0, JW_KIND_COUNT);
    }
  g_rand_free (random);
  for (uint32_t i = 0; i < JW_KIND_COUNT; i++)
    if ((kinds & 1U << i) != 0)
      play_kind (soak, (enum jw_kind)i);
}

char *
jw_mix_describe (TALLOC_CTX *mem, const struct jw_soak *soak)
{
  const struct
  {
    bool played;
    const char *option;
  } flags[] = {
    { soak->restart_backends, " --restarts" },
    { soak->late_leases == JW_LATE_LEASES_UNTIL, " --late-grants until" },
    { soak->late_leases == JW_LATE_LEASES_FROM_ARRIVAL,
      " --late-grants arrival" },
    { soak->stall_one_host, " --stalls" },
    { soak->evacuate_zones, " --evacuations" },
    { soak->cut_groups, " --group-cuts" },
    { soak->move_queues, " --queue-moves" },
    { soak->no_overload_guard, " --no-guard" },
    { soak->speculative_steps, " --speculative" },
    { soak->lookahead, " --lookahead" },
    { soak->signal_series, " --signals" },
    { soak->slow_replies, " --slow-replies" },
    { soak->late_hosts, " --late-hosts" },
  };
  char *text = talloc_strdup (mem, "");

  for (size_t i = 0; i < G_N_ELEMENTS (flags); i++)
    if (flags[i].played)
      text = talloc_strdup_append (text, flags[i].option);
  if (soak->small_hosts > 0)
    text = talloc_asprintf_append (text, " --small-hosts %u",
                                   soak->small_hosts);
  if (soak->more_hosts > 0)
    text = talloc_asprintf_append (text, " --more-hosts %u", soak->more_hosts);
  return *text == '\0' ? talloc_strdup_append (text, " --plain") : text;
}
