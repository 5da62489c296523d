#ifndef BA_MEMORY_H
#define BA_MEMORY_H

/* Return freed memory whose time is up to the system.  jemalloc does so only
   when the thread that has freed it uses the allocator again, which a thread
   without clients doesn't.  Without jemalloc, do nothing.  To be called about
   once a second.  */
void ba_memory_return_freed (void);

#endif
