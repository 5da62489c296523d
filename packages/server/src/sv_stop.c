#include "sv_stop.h"

#include "jb_host.h"

enum
{
  /* These fractions of the grace period remain when all calls are given up,
     and when the process ends whatever is left.  The decision code gives up
     its own calls when a sixth remains.  */
  GIVE_UP_MARGIN_FRACTION = 8,
  END_MARGIN_FRACTION = 16
};

/* The longest time to wait for bytes to other entry hosts: they repeat what is
   lost, and one of them may be unreachable.  */
#define MAX_PEER_FLUSH (250 * JB_MS)

enum sv_stop_action
sv_stop_decide (const struct sv_stop *stop, jb_time now,
                const struct sv_stop_state *state)
{
  jb_time killed_at = stop->requested_at + stop->grace;
  bool clients_gone = state->host_stopped && state->connections == 0;

  if (now >= killed_at - stop->grace / END_MARGIN_FRACTION)
    return SV_STOP_END;
  if (now >= killed_at - stop->grace / GIVE_UP_MARGIN_FRACTION)
    return clients_gone ? SV_STOP_END : SV_STOP_GIVE_UP;
  if (now < stop->requested_at + jb_host_drain_time (stop->grace))
    return SV_STOP_SERVE;
  if (!state->host_stopped)
    return SV_STOP_DRAIN;
  if (state->connections > 0
      || (state->peer_bytes > 0
          && now < state->host_stopped_at + MAX_PEER_FLUSH))
    return SV_STOP_REFUSE;
  return SV_STOP_END;
}
