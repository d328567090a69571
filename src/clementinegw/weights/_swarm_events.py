"""Numbered log events of the exchange of chunks between agents."""

from clementinegw.telemetry import events

ROLLOUT_STARTED = events.define(
    450,
    "rollout_started",
    events.Level.INFO,
    "An agent started to fetch the chunks of a manifest.",
)
ROLLOUT_FETCHED = events.define(
    451,
    "rollout_fetched",
    events.Level.INFO,
    "An agent holds every chunk of the manifest; all are verified.",
)
CHUNK_CORRUPT = events.define(
    452,
    "chunk_corrupt",
    events.Level.WARNING,
    "The digest of a received chunk did not match; the chunk was discarded.",
    "If one peer sends several, check its memory and network card; if the"
    " origin does, publish the version again.",
)
PEER_PUT_ASIDE = events.define(
    453,
    "peer_put_aside",
    events.Level.WARNING,
    "A peer stalled or sent a corrupt chunk; no chunks are requested from it"
    " for a while.",
    "If it happens again, check the peer and the network path to it.",
)
DRAW_FAILED = events.define(
    454,
    "draw_failed",
    events.Level.WARNING,
    "The weight store or the origin did not return a chunk; it is requested"
    " again.",
    "Check the store if `weights.draw_failed` keeps growing.",
)
PEER_LOST = events.define(
    455,
    "peer_lost",
    events.Level.INFO,
    "The connection to another agent ended; `by_peer` is true if the peer"
    " closed it.",
)
