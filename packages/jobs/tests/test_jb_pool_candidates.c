/* Test of the order in which a scheduling cycle starts task groups.  A group
   that is returned too late lets others with a lower rank take its room.

   Expected load: thousands of groups in a hundred classes; ranks are often
   equal, since jobs are submitted at the same time.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"

enum
{
  SEED_COUNT = 50,
  MAX_CLASSES = 12,
  MAX_MEMBERS = 40,
  MAX_CANDIDATES = MAX_CLASSES * MAX_MEMBERS,
  RANK_VARIETY = 20,
  STEPS_PER_JOB = 3
};

struct entry
{
  struct jb_candidate candidate;
  uint32_t class;
  bool is_dropped;
};

struct fixture
{
  TALLOC_CTX *mem;
  GRand *random;
  struct jb_candidates *candidates;
  struct entry entries[MAX_CANDIDATES];
  uint32_t count;
};

static uint32_t
random_below (struct fixture *fixture, uint32_t limit)
{
  return (uint32_t)g_rand_int_range (fixture->random, 0, (gint32)limit);
}

/* Return a group of a job with a number of groups.  */
static struct jb_task_group *
make_group (struct fixture *fixture)
{
  static struct jb_job *job;
  struct jb_task_group *group
      = talloc_zero (fixture->mem, struct jb_task_group);

  if (fixture->count % STEPS_PER_JOB == 0)
    {
      job = talloc_zero (fixture->mem, struct jb_job);
      job->active_index = MAX_CANDIDATES - fixture->count;
    }
  group->job = job;
  group->occurrence = fixture->count % STEPS_PER_JOB / 2;
  group->step = fixture->count % STEPS_PER_JOB % 2;
  return group;
}

static void
set_up (struct fixture *fixture, uint32_t seed)
{
  struct jb_candidate members[MAX_MEMBERS];
  uint32_t class_count;

  *fixture = (struct fixture){ .mem = talloc_new (NULL),
                               .random = g_rand_new_with_seed (seed) };
  fixture->candidates = jb_candidates_new (fixture->mem);
  class_count = random_below (fixture, MAX_CLASSES + 1);
  for (uint32_t i = 0; i < class_count; i++)
    {
      uint32_t count = 1 + random_below (fixture, MAX_MEMBERS);

      for (uint32_t j = 0; j < count; j++)
        {
          members[j] = (struct jb_candidate){ .group = make_group (fixture) };
          members[j].rank.class = JB_RANK_ON_TIME;
          members[j].rank.latest_start = random_below (fixture, RANK_VARIETY);
          fixture->entries[fixture->count++]
              = (struct entry){ .candidate = members[j], .class = i };
        }
      jb_candidates_add_class (fixture->candidates, members, count);
    }
}

static int
compare_entries (const void *a, const void *b)
{
  return jb_candidate_compare (&((const struct entry *)a)->candidate,
                               &((const struct entry *)b)->candidate);
}

/* Drop the class of the entry with INDEX, which was returned last.  */
static void
drop_class (struct fixture *fixture, uint32_t index)
{
  jb_candidates_drop_class (fixture->candidates);
  for (uint32_t i = index + 1; i < fixture->count; i++)
    if (fixture->entries[i].class == fixture->entries[index].class)
      fixture->entries[i].is_dropped = true;
}

static void
test_order (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct fixture fixture;

      set_up (&fixture, seed);
      qsort (fixture.entries, fixture.count, sizeof *fixture.entries,
             compare_entries);
      for (uint32_t i = 0; i < fixture.count; i++)
        {
          const struct jb_candidate *taken;

          if (fixture.entries[i].is_dropped)
            continue;
          taken = jb_candidates_take (fixture.candidates);
          CU_ASSERT_TRUE_FATAL (taken != NULL
                                && taken->group
                                       == fixture.entries[i].candidate.group);
          if (random_below (&fixture, MAX_MEMBERS) == 0)
            drop_class (&fixture, i);
        }
      CU_ASSERT_PTR_NULL (jb_candidates_take (fixture.candidates));
      CU_ASSERT_PTR_NULL (jb_candidates_take (fixture.candidates));
      g_rand_free (fixture.random);
      talloc_free (fixture.mem);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the first one in rank first", test_order }, { NULL, NULL } };

  return dp_test_main ("candidates of a scheduling cycle", tests);
}
