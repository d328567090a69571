"""Numbered events of the gate, block 600."""

from clementinegw.telemetry import events

BACKEND_CRASHED = events.define(
    600,
    "backend_crashed",
    events.Level.WARNING,
    "The backend server crashed; the outcome of attempts in flight is unknown.",
    "Check the backend server's log; see docs/operators/at-most-once.md.",
)
BACKEND_STALLED = events.define(
    601,
    "backend_stalled",
    events.Level.WARNING,
    "The backend server keeps its connections open but does not respond.",
    "Restart the backend server if it does not recover by itself.",
)
BACKEND_READY = events.define(
    602,
    "backend_ready",
    events.Level.INFO,
    "The backend server is ready for requests.",
)
GATE_DRAINING = events.define(
    603,
    "gate_draining",
    events.Level.INFO,
    "The gate refuses new attempts until weights are loaded.",
)
GATE_LEAVING = events.define(
    604,
    "gate_leaving",
    events.Level.INFO,
    "The gate refuses new attempts and finishes those in flight.",
)
WRONG_WEIGHTS = events.define(
    605,
    "wrong_weights",
    events.Level.ERROR,
    "An answer came from weights other than those that were verified.",
    "Find out which other process sends load orders to the engine.",
)
CRASH_NOT_RECORDED = events.define(
    606,
    "crash_not_recorded",
    events.Level.WARNING,
    "A crash report could not be appended to the log; it is retried.",
    "Restore the platform's log.",
)
WEIGHTS_LOST = events.define(
    607,
    "weights_lost",
    events.Level.WARNING,
    "The engine no longer has the weights whose load was verified.",
    "The engine was restarted; the weights are loaded again automatically.",
)
ATTEMPT_FAILED = events.define(
    608,
    "attempt_failed",
    events.Level.ERROR,
    "An attempt ended in an unexpected error.",
    "This is a defect; report it with the log line.",
)
