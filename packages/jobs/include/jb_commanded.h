#ifndef JB_COMMANDED_H
#define JB_COMMANDED_H

/* The hosts of the fleet that planners may have commanded, and the decision
   which hosts a new planner may command at once.  It has no input or output:
   the planner stores the rows in its partition.

   Two planners must not command the same host within the lease of a command,
   nor may a command with a lower fencing token follow one with a higher one.
   A planner therefore stores the name of a host before it sends a command to
   it.  Since such a write fails after a successor's claim, the rows that a
   successor reads name all hosts that the predecessor can still command, and
   the successor commands all other hosts at once.

   A command that was not answered may be executed up to
   JB_COMMANDED_LATE_EXECUTION after it was sent.  Each row therefore tells of
   each host whether no command can be executed any more ("settled") and
   whether one was not answered; a planner that fails within the timeout of a
   command leaves hosts of which neither is known.  Hosts that are not settled
   are not moved before the time of a late execution has passed, since other
   hosts can be moved instead.  For maintenance, which has to be done on the
   named hosts in limited time, that holds only where a command is known not to
   have been answered.

   The first row also has the generation
   of the ownership that wrote it: a planner of a previous version writes no
   rows, so rows of another generation than the predecessor's don't tell which
   hosts it has commanded.

   Expected load: 350 to 23,000 hosts, of which at most some hundred are named:
   64 commands a second for 13 s.  A planner fails during a surge, while tens
   of hosts are being moved, and the others must be usable at once.  */

#include "jb_command.h"

/* A command to a host that was not answered is executed at most this long
   after it was sent.  */
#define JB_COMMANDED_LATE_EXECUTION (10 * JB_SECOND)

/* Table of the rows, and key of the first one.  The further ones have a number
   from 1 on appended, as in "hosts.1".  */
#define JB_COMMANDED_TABLE "commanded"
#define JB_COMMANDED_KEY "hosts"

struct jb_commanded;

struct jb_commanded_options
{
  jb_time claimed_at;
  uint32_t generation; /* of the current ownership */
  jb_time lease;       /* of a command; 0: this planner doesn't wait */
  /* How long after the claim a predecessor that is cut off may still send
     commands.  */
  jb_time predecessor_validity;
};

/* Return a new table, empty and owned by MEM.  */
struct jb_commanded *jb_commanded_new (TALLOC_CTX *mem);

/* Load ROW, which is from the table JB_COMMANDED_TABLE.  Return false if it
   can't be decoded; then it counts as never written.  */
bool jb_commanded_load_row (struct jb_commanded *commanded,
                            const struct jb_row *row);

/* All rows have been loaded, and the ownership that OPTIONS describes has
   begun.  The first row is now due to be written.  */
void jb_commanded_begin (struct jb_commanded *commanded,
                         const struct jb_commanded_options *options);

/* Name HOST, for a maintenance if IS_MAINTENANCE, before commands are sent to
   it, until jb_commanded_release_host.  */
void jb_commanded_name_host (struct jb_commanded *commanded, const char *host,
                             bool is_maintenance);

/* No more commands are sent to HOST unless it is named again.  Nothing happens
   if it has no name.  */
void jb_commanded_release_host (struct jb_commanded *commanded,
                                const char *host);

/* A command to HOST is sent now, or was answered.  UNKNOWN says that no answer
   came, so that it may be executed late.  */
void jb_commanded_record_sent (struct jb_commanded *commanded, jb_time now,
                               const char *host);
void jb_commanded_record_answer (struct jb_commanded *commanded, jb_time now,
                                 const char *host, bool unknown);

/* Return whether rows must be written before commands can be sent, or, to help
   a successor, because much has changed since they were last written.  Names
   that are no longer needed are removed.  */
bool jb_commanded_is_write_due (struct jb_commanded *commanded, jb_time now);

/* Rows to be written by one or several transactions.  */
struct jb_commanded_rows
{
  struct jb_row *set;
  uint32_t set_count;
  struct jb_row *removed;
  uint32_t removed_count;
  uint64_t write; /* number, for jb_commanded_handle_commit */
};

/* Return the rows that have changed since the last call, owned by MEM.  They
   must be written in the order of the calls.  */
struct jb_commanded_rows
jb_commanded_take_rows (struct jb_commanded *commanded, TALLOC_CTX *mem,
                        jb_time now);

/* The rows of the write with the number WRITE, and of all earlier ones, are
   known to be durable.  */
void jb_commanded_handle_commit (struct jb_commanded *commanded,
                                 uint64_t write);

/* Return whether the rows are durable that name HOST, and that are the first
   ones of this ownership.  No command may be sent otherwise.  */
bool jb_commanded_is_committed (const struct jb_commanded *commanded,
                                const char *host);

/* Return the earliest time for a command to HOST, for its maintenance if
   IS_MAINTENANCE, else for a move, and to a host that no row names.  */
jb_time jb_commanded_usable_from (const struct jb_commanded *commanded,
                                  const char *host, bool is_maintenance);
jb_time jb_commanded_others_usable_from (const struct jb_commanded *commanded);

/* Return whether a predecessor named HOST for maintenance, and HOST is not yet
   usable for that.  */
bool jb_commanded_may_be_maintained (const struct jb_commanded *commanded,
                                     jb_time now, const char *host);

/* Return the number of names, and of those that were read from predecessors'
   rows.  */
uint32_t jb_commanded_count (const struct jb_commanded *commanded);
uint32_t jb_commanded_count_inherited (const struct jb_commanded *commanded);

/* Return whether the rows told which hosts the predecessor may have
   commanded.  */
bool jb_commanded_is_known (const struct jb_commanded *commanded);

#endif
