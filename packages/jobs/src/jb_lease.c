#include "jb_lease.h"

#include "jb_doubt.h"

#include <glib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 4
};

struct grant
{
  uint64_t number;
  jb_time sent_at;
  jb_time length;
};

struct jb_lease
{
  jb_time confirmed_until;
  jb_time dropped_end; /* latest end of the grants that were dropped */
  uint64_t last_number;
  /* Without an answer, in the order of their latest ends.  */
  struct grant *grants;
  uint32_t count;
  uint32_t capacity;
};

struct jb_lease *
jb_lease_new (TALLOC_CTX *mem)
{
  return talloc_zero (mem, struct jb_lease);
}

/* Return the end of a lease that GRANT extends as late as possible.  */
static jb_time
latest_end (const struct grant *grant)
{
  return grant->sent_at + JB_MAX_COMMAND_DELAY + grant->length;
}

/* Return the latest end of a lease that lasts until END and that GRANT may
   extend.  */
static jb_time
extend (jb_time end, const struct grant *grant)
{
  return MAX (end, MIN (end, grant->sent_at + JB_MAX_COMMAND_DELAY)
                       + grant->length);
}

static void
remove_at (struct jb_lease *lease, uint32_t index)
{
  lease->count--;
  memmove (&lease->grants[index], &lease->grants[index + 1],
           (lease->count - index) * sizeof *lease->grants);
}

/* Drop the grants that can't be carried out any more.  Each is the first link
   of the chain, so what it may have done is kept in the confirmed end, and the
   end of the chain remains.  */
static void
drop_expired (struct jb_lease *lease, jb_time now)
{
  uint32_t expired = 0;

  while (expired < lease->count
         && now > lease->grants[expired].sent_at + JB_MAX_COMMAND_DELAY)
    {
      lease->confirmed_until
          = extend (lease->confirmed_until, &lease->grants[expired]);
      lease->dropped_end
          = MAX (lease->dropped_end, latest_end (&lease->grants[expired]));
      expired++;
    }
  if (expired == 0)
    return;
  lease->count -= expired;
  memmove (lease->grants, &lease->grants[expired],
           lease->count * sizeof *lease->grants);
}

/* Insert GRANT, for which there is room, in its place.  */
static void
insert (struct jb_lease *lease, const struct grant *grant)
{
  uint32_t index = lease->count;

  while (index > 0
         && latest_end (&lease->grants[index - 1]) > latest_end (grant))
    index--;
  memmove (&lease->grants[index + 1], &lease->grants[index],
           (lease->count - index) * sizeof *grant);
  lease->grants[index] = *grant;
  lease->count++;
}

uint64_t
jb_lease_add_grant (struct jb_lease *lease, jb_time now, jb_time length)
{
  struct grant grant
      = { .number = ++lease->last_number, .sent_at = now, .length = length };

  drop_expired (lease, now);
  if (lease->count == lease->capacity)
    {
      lease->capacity = MAX (2 * lease->capacity, INITIAL_CAPACITY);
      lease->grants = talloc_realloc (lease, lease->grants, struct grant,
                                      lease->capacity);
    }
  insert (lease, &grant);
  return grant.number;
}

void
jb_lease_lengthen (struct jb_lease *lease, jb_time length)
{
  uint32_t count = lease->count;

  lease->count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct grant grant = lease->grants[i];

      grant.length = MAX (grant.length, length);
      insert (lease, &grant);
    }
}

void
jb_lease_remove_grant (struct jb_lease *lease, uint64_t number)
{
  for (uint32_t i = 0; i < lease->count; i++)
    if (lease->grants[i].number == number)
      {
        remove_at (lease, i);
        return;
      }
}

void
jb_lease_resend (struct jb_lease *lease, uint64_t number, jb_time now)
{
  for (uint32_t i = 0; i < lease->count; i++)
    if (lease->grants[i].number == number)
      {
        struct grant grant = lease->grants[i];

        remove_at (lease, i);
        grant.sent_at = MAX (grant.sent_at, now);
        insert (lease, &grant);
        return;
      }
}

void
jb_lease_answer (struct jb_lease *lease, uint64_t number, jb_time now)
{
  jb_time longest = 0;

  for (uint32_t i = 0; i < lease->count; i++)
    longest = MAX (longest, lease->grants[i].length);
  if (longest != 0)
    jb_lease_confirm (lease, now + longest);
  jb_lease_remove_grant (lease, number);
  drop_expired (lease, now);
}

void
jb_lease_confirm (struct jb_lease *lease, jb_time until)
{
  lease->confirmed_until = MAX (lease->confirmed_until, until);
}

jb_time
jb_lease_confirmed_until (const struct jb_lease *lease)
{
  return lease->confirmed_until;
}

/* Doing the grants in the order of their latest ends is the worst order: to
   exchange two neighbours that are in it never makes the end later.  */
jb_time
jb_lease_end (const struct jb_lease *lease, jb_time since)
{
  jb_time end = lease->confirmed_until;

  /* Grants that were dropped may have extended a lease that isn't part of the
     confirmed one.  */
  if (since != 0)
    end = MAX (end, MAX (since, lease->dropped_end));
  for (uint32_t i = 0; i < lease->count; i++)
    end = extend (end, &lease->grants[i]);
  return end;
}

jb_time
jb_lease_open_length (const struct jb_lease *lease, jb_time now,
                      jb_time sent_before)
{
  jb_time length = 0;

  for (uint32_t i = 0; i < lease->count; i++)
    if (lease->grants[i].sent_at < sent_before
        && now <= lease->grants[i].sent_at + JB_MAX_COMMAND_DELAY)
      length += lease->grants[i].length;
  return length;
}

jb_time
jb_lease_waiting_since (const struct jb_lease *lease, jb_time now)
{
  jb_time since = 0;

  for (uint32_t i = 0; i < lease->count; i++)
    if (now <= lease->grants[i].sent_at + JB_MAX_COMMAND_DELAY
        && (since == 0 || lease->grants[i].sent_at < since))
      since = lease->grants[i].sent_at;
  return since;
}
