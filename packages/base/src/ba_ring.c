#include "ba_ring.h"

#include <ck_ring.h>
#include <errno.h>
#include <glib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* ck_ring implements atomic operations in inline assembly, which
   ThreadSanitizer can't instrument.  In a ThreadSanitizer build, this file is
   therefore compiled without instrumentation, and annotations say that a push
   happens before the pop of the same item.  */
#ifdef BA_RING_ANNOTATE
void __tsan_release (void *address);
void __tsan_acquire (void *address);
#define ANNOTATE_RELEASE(address) __tsan_release (address)
#define ANNOTATE_ACQUIRE(address) __tsan_acquire (address)
#else
#define ANNOTATE_RELEASE(address) ((void)0)
#define ANNOTATE_ACQUIRE(address) ((void)0)
#endif

struct ba_ring
{
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  int fd; /* an eventfd */
};

static int
ring_destructor (struct ba_ring *ring)
{
  close (ring->fd);
  return 0;
}

static struct ba_ring *
new_ring (TALLOC_CTX *mem, unsigned capacity)
{
  struct ba_ring *ring = talloc_zero (mem, struct ba_ring);

  ring->buffer = talloc_zero_array (ring, ck_ring_buffer_t, capacity);
  ck_ring_init (&ring->ring, capacity);
  return ring;
}

struct ba_ring *
ba_ring_new (TALLOC_CTX *mem, unsigned capacity)
{
  struct ba_ring *ring = new_ring (mem, capacity);

  ring->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  g_assert (ring->fd >= 0);
  talloc_set_destructor (ring, ring_destructor);
  return ring;
}

struct ba_ring *
ba_ring_new_beside (TALLOC_CTX *mem, unsigned capacity,
                    const struct ba_ring *other)
{
  struct ba_ring *ring = new_ring (mem, capacity);

  ring->fd = other->fd;
  return ring;
}

void
ba_ring_wake (struct ba_ring *ring)
{
  uint64_t one = 1;
  ssize_t written;

  do
    written = write (ring->fd, &one, sizeof one);
  while (written < 0 && errno == EINTR);
}

bool
ba_ring_push (struct ba_ring *ring, void *item)
{
  ANNOTATE_RELEASE (ring);
  if (!ck_ring_enqueue_mpsc (&ring->ring, ring->buffer, item))
    return false;
  ba_ring_wake (ring);
  return true;
}

void *
ba_ring_pop (struct ba_ring *ring)
{
  void *item;

  if (!ck_ring_dequeue_mpsc (&ring->ring, ring->buffer, &item))
    return NULL;
  ANNOTATE_ACQUIRE (ring);
  return item;
}

unsigned
ba_ring_count (const struct ba_ring *ring)
{
  return ck_ring_size (&ring->ring);
}

int
ba_ring_fd (const struct ba_ring *ring)
{
  return ring->fd;
}

void
ba_ring_reset_fd (struct ba_ring *ring)
{
  uint64_t count;
  ssize_t received;

  do
    received = read (ring->fd, &count, sizeof count);
  while (received < 0 && errno == EINTR);
}
