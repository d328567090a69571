"""Numbered log events of the exchange of chunks."""

from clementinegw.telemetry import events

ROLLOUT_STARTED = events.define(
    450,
    "rollout_started",
    events.Level.INFO,
    "An agent began to fetch the chunks of a manifest.",
)
ROLLOUT_FETCHED = events.define(
    451,
    "rollout_fetched",
    events.Level.INFO,
    "An agent holds every chunk of the manifest, verified.",
)
CHUNK_CORRUPT = events.define(
    452,
    "chunk_corrupt",
    events.Level.WARNING,
    "A chunk came with another digest and was thrown away.",
    "When one peer sends several, look at its memory and its network card; "
    "when the origin does, publish the version again.",
)
PEER_PUT_ASIDE = events.define(
    453,
    "peer_put_aside",
    events.Level.WARNING,
    "A peer stalled or sent a corrupt chunk and is not asked for a while.",
    "Look at the peer and the path to it when it happens again.",
)
DRAW_FAILED = events.define(
    454,
    "draw_failed",
    events.Level.WARNING,
    "The weight store or the origin did not give a chunk; it is asked again.",
    "Look at the store when `weights.draw_failed` keeps growing.",
)
PEER_LOST = events.define(
    455,
    "peer_lost",
    events.Level.INFO,
    "The connection to another agent ended; `by_peer` where its end closed it.",
)
