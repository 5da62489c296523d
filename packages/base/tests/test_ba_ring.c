#include "ba_ring.h"

#include "dp_test.h"

#include <glib.h>
#include <poll.h>

enum
{
  PRODUCER_COUNT = 4,
  ITEMS_PER_PRODUCER = 20000,
  CAPACITY = 64
};

static struct ba_ring *ring;

/* Push the items of one producer.  Item I, counted from 0, of producer P is
   the pointer P * ITEMS_PER_PRODUCER + I + 1.  */
static gpointer
producer_main (gpointer data)
{
  guint first = GPOINTER_TO_UINT (data) * ITEMS_PER_PRODUCER;

  for (guint i = 1; i <= ITEMS_PER_PRODUCER; i++)
    while (!ba_ring_push (ring, GUINT_TO_POINTER (first + i)))
      g_thread_yield ();
  return NULL;
}

/* Items must not be lost, and those of one producer must arrive in order,
   while several threads push and find the ring full.  */
static void
test_many_producers (void)
{
  GThread *threads[PRODUCER_COUNT];
  guint last_items[PRODUCER_COUNT] = { 0 };
  guint count = 0;
  gboolean ordered = TRUE;

  ring = ba_ring_new (NULL, CAPACITY);
  for (guint producer = 0; producer < PRODUCER_COUNT; producer++)
    threads[producer] = g_thread_new ("producer", producer_main,
                                      GUINT_TO_POINTER (producer));
  while (count < PRODUCER_COUNT * ITEMS_PER_PRODUCER)
    {
      struct pollfd p = { .fd = ba_ring_fd (ring), .events = POLLIN };
      gpointer item;

      poll (&p, 1, 1000);
      ba_ring_reset_fd (ring);
      while ((item = ba_ring_pop (ring)) != NULL)
        {
          guint number = GPOINTER_TO_UINT (item) - 1;

          ordered = ordered
                    && number % ITEMS_PER_PRODUCER
                           >= last_items[number / ITEMS_PER_PRODUCER];
          last_items[number / ITEMS_PER_PRODUCER]
              = number % ITEMS_PER_PRODUCER;
          count++;
        }
    }
  for (guint producer = 0; producer < PRODUCER_COUNT; producer++)
    g_thread_join (threads[producer]);
  CU_ASSERT_TRUE (ordered);
  CU_ASSERT_PTR_NULL (ba_ring_pop (ring));
  talloc_free (ring);
}

static void
test_full_ring (void)
{
  int item;
  unsigned pushed = 0;

  ring = ba_ring_new (NULL, CAPACITY);
  while (ba_ring_push (ring, &item))
    pushed++;
  CU_ASSERT_EQUAL (pushed, CAPACITY - 1);
  CU_ASSERT_PTR_EQUAL (ba_ring_pop (ring), &item);
  CU_ASSERT_TRUE (ba_ring_push (ring, &item));
  talloc_free (ring);
}

/* A consumer of two rings polls one file descriptor: a push to either of them
   must make it readable, or the item waits until another one comes.  */
static void
test_ring_beside (void)
{
  struct ba_ring *beside;
  struct pollfd p = { .events = POLLIN };
  int item;

  ring = ba_ring_new (NULL, CAPACITY);
  beside = ba_ring_new_beside (ring, CAPACITY, ring);
  p.fd = ba_ring_fd (ring);
  CU_ASSERT_EQUAL (ba_ring_fd (beside), p.fd);
  CU_ASSERT_EQUAL (poll (&p, 1, 0), 0);
  CU_ASSERT_TRUE (ba_ring_push (beside, &item));
  CU_ASSERT_EQUAL (poll (&p, 1, 0), 1);
  CU_ASSERT_EQUAL (ba_ring_count (beside), 1);
  CU_ASSERT_EQUAL (ba_ring_count (ring), 0);
  CU_ASSERT_PTR_NULL (ba_ring_pop (ring));
  CU_ASSERT_PTR_EQUAL (ba_ring_pop (beside), &item);
  CU_ASSERT_EQUAL (ba_ring_count (beside), 0);
  talloc_free (beside);
  CU_ASSERT_TRUE (ba_ring_push (ring, &item));
  ba_ring_reset_fd (ring);
  CU_ASSERT_EQUAL (poll (&p, 1, 0), 0);
  talloc_free (ring);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "items of many producers arrive in order", test_many_producers },
          { "full ring refuses an item", test_full_ring },
          { "rings with one file descriptor", test_ring_beside },
          { NULL, NULL } };

  return dp_test_main ("ba_ring", tests);
}
