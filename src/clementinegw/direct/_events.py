"""Log events 900 to 949: the direct path."""

from clementinegw.telemetry import events

_INFO = events.Level.INFO
_WARNING = events.Level.WARNING

TOPIC_LOST = events.define(
    900,
    "topic_lost",
    _WARNING,
    "The platform does not answer questions about a topic.",
    "Look at `reason`; requests go on with what was known.",
)
TOPIC_REGAINED = events.define(
    901, "topic_regained", _INFO, "The platform answers about a topic again."
)
HISTORY_LOST = events.define(
    902,
    "history_lost",
    _INFO,
    "The platform has dropped records; the newest of each key are read.",
)
CONFIGURATION_TAKEN = events.define(
    903, "configuration_taken", _INFO, "Another configuration is in force."
)
CONFIGURATION_OLD = events.define(
    904,
    "configuration_old",
    _WARNING,
    "An older configuration than the one in force was read and left aside.",
)
RECORD_MALFORMED = events.define(
    905,
    "record_malformed",
    _WARNING,
    "A record of the platform cannot be read: a server's names none any more,"
    " of operators' the last good one stays. Told once until it can be read.",
    "Look at `reason` and at who wrote the record.",
)
WEIGHTS_DECLARED = events.define(
    906, "weights_declared", _INFO, "Operators named a version of weights."
)
WEIGHTS_REDATED = events.define(
    935,
    "weights_redated",
    _INFO,
    "A version is now known to have been named at another moment.",
)
SERVER_LISTED = events.define(
    907, "server_listed", _INFO, "A backend server appeared or changed."
)
SERVER_GONE = events.define(
    908, "server_gone", _INFO, "A backend server is no longer listed."
)
SERVER_LIMIT_CHANGED = events.define(
    944,
    "server_limit_changed",
    _INFO,
    "A backend server's answers report another rate limit for all entries, or"
    " none any more.",
    "None; `per_s` is in requests a second, `position` is this entry's.",
)
SERVER_LEAVING = events.define(
    946,
    "server_leaving",
    _INFO,
    "A backend server's answer says that it leaves; this entry sends it nothing"
    " more, whatever the platform lists.",
)
SERVER_BACKOFF = events.define(
    947,
    "server_backoff",
    _INFO,
    "A backend server rejected a request and asked this entry for a pause; it"
    " gets nothing until its end.",
)
SERVER_SIGNAL_MALFORMED = events.define(
    945,
    "server_signal_malformed",
    _WARNING,
    "A backend server reports something of itself that cannot be read; what it"
    " reported before stays in force. Logged once until it can be read.",
    "Look at `field` and at the server's version.",
)
REQUEST_DONE = events.define(
    910, "request_done", _INFO, "A request got its final answer."
)
ATTEMPT_ENDED = events.define(
    911,
    "attempt_ended",
    _INFO,
    "An attempt at a backend server ended without an answer to pass on.",
)
REQUEST_REFUSED = events.define(
    912, "request_refused", _INFO, "A request was refused: it was not run."
)
READY_CHANGED = events.define(
    913, "ready_changed", _INFO, "The process takes new callers, or not."
)
SETTINGS_RELOADED = events.define(
    915, "settings_reloaded", _INFO, "The instance file was read again."
)
SETTINGS_REFUSED = events.define(
    916,
    "settings_refused",
    _WARNING,
    "The changed instance file is malformed; the former one stays in force.",
    "Look at `reason`.",
)
STAGED_SPOILT = events.define(
    917,
    "staged_spoilt",
    _WARNING,
    "A piece that was just staged reads back with another digest.",
    "None at first: it is staged again before any load.",
)
SERVER_SILENT = events.define(
    918,
    "server_silent",
    _WARNING,
    "The backend server beside the agent does not answer.",
)
SERVER_HOLDS = events.define(
    919, "server_holds", _INFO, "The server beside holds other weights."
)
WEIGHTS_WANTED = events.define(
    920, "weights_wanted", _INFO, "The agent begins to bring a version."
)
WEIGHTS_WAIT = events.define(
    921,
    "weights_wait",
    _WARNING,
    "A step towards the wanted version failed; it is tried again.",
    "Look at `reason`.",
)
WEIGHTS_ORDERED = events.define(
    922, "weights_ordered", _INFO, "The server beside was ordered to load."
)
STEP_FAILED = events.define(
    923,
    "step_failed",
    events.Level.ERROR,
    "A step towards the wanted weights met a defect; it is tried again.",
    "Report it with the line's `step` and `error`.",
)
SERVER_RECORD_OLD = events.define(
    930,
    "server_record_old",
    _INFO,
    "A server's record was older than what is known of it and left aside.",
)
CUT_OFF = events.define(
    924,
    "cut_off",
    _WARNING,
    "The time to stop was over before all requests had their answers.",
)
READER_CHANGED = events.define(
    940,
    "reader_changed",
    _INFO,
    "A topic is read from another process, or from the store, than before.",
)
READERS_CHANGED = events.define(
    941,
    "readers_changed",
    _INFO,
    "Others read the store for this failure domain than before.",
)
READERS_UNKNOWN = events.define(
    942,
    "readers_unknown",
    _WARNING,
    "The platform does not say who reads for this failure domain.",
    "None at first: those who were known go on, else each reads by itself.",
)
FOLLOWING_CHANGED = events.define(
    943,
    "following_changed",
    _INFO,
    "The entry follows other servers than before, and sends to these only.",
)
