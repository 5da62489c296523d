#ifndef SV_STOP_H
#define SV_STOP_H

/* Decides how a planned stop of an entry host ends.  No input or output, clock
   or lock: times are arguments.

   A stop ends when no client is connected any more, not after a time: a
   request that is read must be answered, and only the end of its connection
   tells that none can come.  When the process is about to be killed, what is
   left is answered, and that gives way: calls that are not taken by the event
   loop are refused as not run, and for the others the result is unknown.

   Expected load: up to 2,000 connections, most of them idle, and a few hundred
   requests a second until the balancer has noticed the stop; an event loop
   that is late by seconds.  */

#include "jb_types.h"

enum sv_stop_action
{
  SV_STOP_SERVE,   /* the balancer may still send clients here */
  SV_STOP_DRAIN,   /* end connections without requests; calls go on */
  SV_STOP_REFUSE,  /* refuse requests, and those that wait for the event
                      loop: the decision code accepts no more */
  SV_STOP_GIVE_UP, /* answer all calls, and end all connections */
  SV_STOP_END      /* end the process */
};

struct sv_stop
{
  jb_time requested_at;
  jb_time grace; /* time until the process is killed */
};

/* What a stop waits for.  */
struct sv_stop_state
{
  /* The decision code has handed its pools over and answered its calls, or has
     no more time for that.  */
  bool host_stopped;
  jb_time host_stopped_at; /* or before; set if HOST_STOPPED */
  unsigned connections;    /* of clients */
  size_t peer_bytes;       /* to be sent to other entry hosts */
};

/* Return what is to be done at the time NOW, again and again until it is
   SV_STOP_END.  */
enum sv_stop_action sv_stop_decide (const struct sv_stop *stop, jb_time now,
                                    const struct sv_stop_state *state);

#endif
