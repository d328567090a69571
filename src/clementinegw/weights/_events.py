"""Log events 400 to 449: loading and swapping of weights."""

from clementinegw.telemetry import events

VERSION_WANTED = events.define(
    400,
    "version_wanted",
    events.Level.INFO,
    "The settings declare a different version for this instance's service.",
)
VERSION_SERVED = events.define(
    401,
    "version_served",
    events.Level.INFO,
    "The engine reported the digest of a declared version, which is now"
    " served.",
)
SERVING_STOPPED = events.define(
    402,
    "serving_stopped",
    events.Level.WARNING,
    "The engine's weights are not known to be correct; requests are rejected.",
    "Check `reason`; `clementinegw rollout status` shows the progress.",
)
LOAD_ORDERED = events.define(
    403,
    "load_ordered",
    events.Level.INFO,
    "A load order is being sent to the engine.",
)
LOAD_NOT_DONE = events.define(
    404,
    "load_not_done",
    events.Level.WARNING,
    "A load order was refused or not sent, or its answer was lost.",
    "None at first: the engine's status is queried and the order is retried.",
)
SWAP_GRANTED = events.define(
    405,
    "swap_granted",
    events.Level.INFO,
    "This instance may stop serving in order to load a version.",
)
SWAP_LOST = events.define(
    406,
    "swap_lost",
    events.Level.WARNING,
    "The permit to stop serving expired, because the platform's log was"
    " unreachable or the process was suspended.",
    "Check the platform's log if it happens often.",
)
MANIFEST_MISSING = events.define(
    407,
    "manifest_missing",
    events.Level.WARNING,
    "No peer, nor the weight store, nor the origin returned the declared"
    " manifest.",
    "Publish the version, or correct `services.SERVICE.model.manifest`.",
)
CHUNK_REJECTED = events.define(
    408,
    "chunk_rejected",
    events.Level.WARNING,
    "The weight store or the origin sent a chunk whose digest does not match.",
    "Publish the version again; damaged chunks are replaced.",
)
STAGING_FAILED = events.define(
    409,
    "staging_failed",
    events.Level.WARNING,
    "A chunk could not be written to or read from the staging memory of the"
    " engine's host, or chunks could not be fetched.",
    "Check that the host has memory for two versions of the model.",
)
ADAPTER_LOADED = events.define(
    410, "adapter_loaded", events.Level.INFO, "The engine loaded an adapter."
)
ADAPTER_NOT_LOADED = events.define(
    411,
    "adapter_not_loaded",
    events.Level.WARNING,
    "The engine did not load an adapter, or reported a different digest.",
    "Check `reason`; the load is retried.",
)
