"""The numbered events of membership, block 300."""

from clementinegw.telemetry import events

MEMBER_SUSPECTED = events.define(
    300,
    "member_suspected",
    events.Level.INFO,
    "A member answered neither direct nor indirect pings.",
)
MEMBER_DEAD = events.define(
    301,
    "member_dead",
    events.Level.WARNING,
    "A suspect did not refute in time and receives no more requests.",
    "Check that instance; if it returns, it rejoins automatically.",
)
SUSPICION_REFUTED = events.define(
    302,
    "suspicion_refuted",
    events.Level.INFO,
    "This process was suspected and refuted it with a new incarnation.",
    "If frequent, check for packet loss or an overloaded machine.",
)
PROCESS_PAUSED = events.define(
    303,
    "process_paused",
    events.Level.WARNING,
    "This process did not run for a while and refreshes its view.",
    "Check for a suspended or overloaded machine.",
)
VIEW_SETTLED = events.define(
    304,
    "view_settled",
    events.Level.INFO,
    "This process and a peer agree on the members of its failure domain.",
)
DATAGRAM_REFUSED = events.define(
    305,
    "datagram_refused",
    events.Level.WARNING,
    "A datagram was malformed or had no valid proof of the deployment's key.",
    "Compare the keys of both instances; check for a port conflict.",
)
