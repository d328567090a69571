"""Log events of requests at an entry, numbered from 500."""

from clementinegw.telemetry import events

AGENT_CONNECTED = events.define(
    500,
    "agent_connected",
    events.Level.INFO,
    "Requests can be sent to an agent.",
)
AGENT_DISCONNECTED = events.define(
    501,
    "agent_disconnected",
    events.Level.WARNING,
    "The connection to an agent ended.",
    "If the instance should be up, check its log and the network.",
)
AGENT_LEAVING = events.define(
    502,
    "agent_leaving",
    events.Level.INFO,
    "An agent is leaving and receives no new requests.",
)
REQUEST_UNKNOWN = events.define(
    503,
    "request_unknown",
    events.Level.WARNING,
    "A caller was answered that its request may or may not have run.",
    "Check the records of the backend server for whether it ran.",
)
STREAM_RESUMED = events.define(
    504,
    "stream_resumed",
    events.Level.INFO,
    "An interrupted stream was resumed from another worker.",
)
DRAINING = events.define(
    505,
    "entry_draining",
    events.Level.INFO,
    "The entry refuses new requests and finishes those in progress.",
)
DRAIN_CUT = events.define(
    506,
    "entry_drain_cut",
    events.Level.ERROR,
    "Requests were still running when the entry had to stop.",
    "Raise `shutdown.grace_s` above the duration of the longest answer.",
)
HANDLER_FAILED = events.define(
    507,
    "handler_failed",
    events.Level.ERROR,
    "A caller's request ended in an unexpected error.",
    "This is a defect; report it with the log line.",
)
REQUEST_ENDED = events.define(
    508,
    "request_ended",
    events.Level.INFO,
    "A caller's request has ended; `outcome` and `reason` say how.",
)
ANSWER_CUT_SHORT = events.define(
    509,
    "answer_cut_short",
    events.Level.WARNING,
    "An answer that had begun was cut short, because it could not be"
    " completed.",
    "Check `reason`, and the log of the agent for the same request.",
)
OUTCOME_UNDELIVERED = events.define(
    510,
    "outcome_undelivered",
    events.Level.INFO,
    "A request that must not run twice ended after its caller had left.",
)
