"""Log events 900 to 949: the direct path."""

from clementinegw.telemetry import events

_INFO = events.Level.INFO
_WARNING = events.Level.WARNING

TOPIC_LOST = events.define(
    900,
    "topic_lost",
    _WARNING,
    "The platform does not answer reads of a topic.",
    "Check `reason`; requests continue with the state known before.",
)
TOPIC_REGAINED = events.define(
    901,
    "topic_regained",
    _INFO,
    "The platform answers reads of a topic again, and its records are applied.",
)
TOPIC_FAILED = events.define(
    932,
    "topic_failed",
    events.Level.ERROR,
    "An unexpected error ended a read of a topic or the application of its"
    " records; the topic is read anew. Logged once until the error changes.",
    "Report it with the line's `error` and `at`; what the process knows of the"
    " topic gets older meanwhile.",
)
HISTORY_LOST = events.define(
    902,
    "history_lost",
    _INFO,
    "The platform has dropped records; the newest of each key is read.",
)
CONFIGURATION_TAKEN = events.define(
    903, "configuration_taken", _INFO, "A new configuration is in force."
)
REGIONS_UNKNOWN = events.define(
    939,
    "regions_unknown",
    _WARNING,
    "A configuration restricts requests to regions in which the instance file"
    " has no failure domain. Logged once until these regions change.",
    "Check `regions`; requests that may be served only there are refused.",
)
EVACUATION_BEGUN = events.define(
    936,
    "evacuation_begun",
    _INFO,
    "The servers of a failure domain get no more requests. `declared` is false"
    " if only agents report it, while this process has no current records.",
)
EVACUATION_ENDED = events.define(
    937,
    "evacuation_ended",
    _INFO,
    "The servers of a failure domain get requests again.",
)
EVACUATION_UNKNOWN = events.define(
    938,
    "evacuation_unknown",
    _WARNING,
    "Operators evacuate a failure domain that the instance file does not have.",
    "Check the spelling of `domain`; no server is affected.",
)
CONFIGURATION_OLD = events.define(
    904,
    "configuration_old",
    _WARNING,
    "A configuration older than the one in force was read and ignored.",
)
RECORD_MALFORMED = events.define(
    905,
    "record_malformed",
    _WARNING,
    "A record of the platform cannot be decoded: a server with such a record"
    " is removed, an operators' record keeps its last valid value. Or values in"
    " a configuration cannot be used as written: `reason` says what is used"
    " instead. Logged once until the record is valid.",
    "Check `reason` and which process wrote the record.",
)
WEIGHTS_DECLARED = events.define(
    906, "weights_declared", _INFO, "Operators declared a version of weights."
)
WEIGHTS_REDATED = events.define(
    935,
    "weights_redated",
    _INFO,
    "The time at which a version was declared was corrected.",
)
STORE_RESTORED = events.define(
    952,
    "store_restored",
    _WARNING,
    "The platform's store was restored from a copy: its epoch was `was` and is"
    " `epoch` now. All topics are read anew; each process that asks another one"
    " does so at its next answer.",
    "What was written shortly before is gone until its writers write it again.",
)
EPOCH_SETTLED = events.define(
    955,
    "epoch_settled",
    _INFO,
    "The store's epoch has lasted for long enough: writers have written again"
    " what it lost when it was restored. Processes that start later believe it"
    " at once.",
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
    "A backend server's answers report a changed rate limit for all entries, or"
    " no limit any more.",
    "None; `per_s` is in requests per second, `position` is this entry's.",
)
SERVER_LEAVING = events.define(
    946,
    "server_leaving",
    _INFO,
    "A backend server's answer reports that it is leaving; this entry sends it"
    " no more requests, whatever the platform lists.",
)
SERVER_BACKOFF = events.define(
    947,
    "server_backoff",
    _INFO,
    "A backend server rejected a request and asked this entry to back off; it"
    " gets no requests until then.",
)
SERVER_SIGNAL_MALFORMED = events.define(
    945,
    "server_signal_malformed",
    _WARNING,
    "A backend server's report of its state cannot be parsed; the value that it"
    " reported before stays in force. Logged once until it can be parsed.",
    "Check `field` and the server's version.",
)
REQUEST_DONE = events.define(
    910, "request_done", _INFO, "A request got its final answer."
)
ATTEMPT_ENDED = events.define(
    911,
    "attempt_ended",
    _INFO,
    "An attempt at a backend server ended without an answer to forward. `crash`"
    " says whether it counts as a crash of the server, `events` how many events"
    " of the answer the caller was sent, `parts` which parts of its prompt"
    " other requests share. `former_calls` is how many calls its `connection`"
    " had made before, `former_sends` how many of these were the same request,"
    " `answer_status` and `answer_id` are of the answer, and `unread` bytes"
    " came after its head.",
)
RETRY_BUDGET = events.define(
    951,
    "retry_budget",
    _INFO,
    "A retry was granted or refused; at most one line a second and service."
    " `requests` and `retries` are this entry's in the window of the budget,"
    " `saved` is how many more it could grant at once, `unanswered` how many"
    " may still arrive at a server, `entries` is the number of entries that it"
    " divides the slack by, and `up_s` how long it has been running.",
)
REQUEST_REFUSED = events.define(
    912,
    "request_refused",
    _INFO,
    "A request was refused; a status of 502 or 504 says that it may have run."
    " `proofs` says for each send that a server rejected how it did.",
)
REQUEST_FAILED = events.define(
    925,
    "request_failed",
    events.Level.ERROR,
    "An unexpected error ended a request.",
    "Report it with the line's `error` and `at`.",
)
ANSWER_BROKEN_OFF = events.define(
    926,
    "answer_broken_off",
    _WARNING,
    "An answer that had begun was broken off, because it could not be completed"
    " by any server.",
    "Check `reason`, and `attempt_ended` of the same request.",
)
LOOP_STALLED = events.define(
    927,
    "loop_stalled",
    _WARNING,
    "The event loop of the process stood still: nothing was read, sent or"
    " timed meanwhile.",
    "Check the load of the machine and what the process logged before.",
)
REQUEST_UNANSWERED = events.define(
    928,
    "request_unanswered",
    events.Level.ERROR,
    "The handler of a request raised an error or returned without a complete"
    " answer. The caller got status 500, or a broken connection if its answer"
    " had begun.",
    "Report it with the line's `error` and `at`.",
)
REQUEST_INVALID = events.define(
    931,
    "request_invalid",
    _INFO,
    "A request was refused before it was read completely; its connection was"
    " closed. Logged once for each connection.",
)
READY_CHANGED = events.define(
    913,
    "ready_changed",
    _INFO,
    "The process became ready for new callers, or stopped being so.",
)
SETTINGS_RELOADED = events.define(
    915, "settings_reloaded", _INFO, "The instance file was read again."
)
SETTINGS_REFUSED = events.define(
    916,
    "settings_refused",
    _WARNING,
    "The changed instance file is malformed or cannot be applied; the previous"
    " one stays in force.",
    "Check `reason`.",
)
STAGED_SPOILT = events.define(
    917,
    "staged_spoilt",
    _WARNING,
    "A chunk that was just staged reads back with a different digest.",
    "None at first: it is staged again before any load.",
)
SERVER_SILENT = events.define(
    918,
    "server_silent",
    _WARNING,
    "The agent's backend server does not answer.",
)
SERVER_HOLDS = events.define(
    919,
    "server_holds",
    _INFO,
    "The agent's backend server holds other weights.",
)
WEIGHTS_WANTED = events.define(
    920,
    "weights_wanted",
    _INFO,
    "The agent starts to fetch and load a version.",
)
WEIGHTS_WAIT = events.define(
    921,
    "weights_wait",
    _WARNING,
    "A step towards the wanted version failed; it is retried.",
    "Check `reason`.",
)
WEIGHTS_ORDERED = events.define(
    922,
    "weights_ordered",
    _INFO,
    "The agent's backend server was ordered to load.",
)
WEIGHTS_UNVERIFIED = events.define(
    909,
    "weights_unverified",
    _WARNING,
    "A load was not ordered, as the server's staged chunks had been read back"
    " too long before; they are read again.",
    "If it repeats, find out why the server answers slowly (`checks_s`) or the"
    " agent stands still (`loop_stalled`).",
)
MANIFEST_RENEWED = events.define(
    953,
    "manifest_renewed",
    _WARNING,
    "A version's manifest was replaced: chunks from the origin contradicted the"
    " former one, or one did not arrive that nobody has.",
    "If it repeats, publish the version again: its manifest does not belong to"
    " its chunks.",
)
STEP_FAILED = events.define(
    923,
    "step_failed",
    events.Level.ERROR,
    "A step of a process's periodic work raised an unexpected error; it is"
    " repeated. Logged once until the error changes.",
    "Report it with the line's `step`, `error` and `at`.",
)
SERVER_RECORD_OLD = events.define(
    930,
    "server_record_old",
    _INFO,
    "A server's record was older than the known one and was ignored.",
)
PROCESS_FAILED = events.define(
    929,
    "process_failed",
    events.Level.ERROR,
    "An unexpected error ended a task that the process cannot do without: it"
    " finishes the work in progress and exits with code 1.",
    "Report it with the line's `task`, `error` and `at`.",
)
LINES_DROPPED = events.define(
    933,
    "lines_dropped",
    _WARNING,
    "Log lines were lost because standard output did not accept them in time.",
    "Check what reads the output; `count` lines before this one are missing.",
)
CUT_OFF = events.define(
    924,
    "cut_off",
    _WARNING,
    "The shutdown time ran out before all requests were answered.",
)
READER_CHANGED = events.define(
    940,
    "reader_changed",
    _INFO,
    "A topic is now read from a different process, or from the store.",
)
READERS_CHANGED = events.define(
    941,
    "readers_changed",
    _INFO,
    "Different processes now read the store for this failure domain.",
)
READERS_UNKNOWN = events.define(
    942,
    "readers_unknown",
    _WARNING,
    "The platform does not report the readers of this failure domain.",
    "None at first: the known readers continue; if none is known, each process"
    " reads the store itself.",
)
FOLLOWING_CHANGED = events.define(
    943,
    "following_changed",
    _INFO,
    "The entry follows a different set of servers and sends only to these.",
)
REFUSALS_READ = events.define(
    934,
    "refusals_read",
    _INFO,
    "The entry has read what was refused before it started. `keys` are digests"
    " of requests and parts.",
)
REFUSALS_FAILED = events.define(
    914,
    "refusals_failed",
    _WARNING,
    "The platform's store does not give or take what is refused; tried again.",
    "Check `reason`. After a loss of power of all machines, requests that crash"
    " servers would have to be found anew.",
)
PART_REFUSED = events.define(
    948,
    "part_refused",
    _WARNING,
    "Requests with this part in their prompts are refused. `part` is a digest"
    " of its id, `crashes` the digests of the server starts that ended under it"
    " and how many seconds ago; `cause` is `crashes` if this entry found it,"
    " else `reported`.",
    "Look for `part` in the refusals of any entry: `suspect` there is its id."
    " Take it out of the callers' prompts.",
)
PART_CLEARED = events.define(
    949,
    "part_cleared",
    _INFO,
    "Requests with this part are served again: one was `answered`, its servers"
    " `survived`, another part `explained` its crashes, or they are"
    " `forgotten`.",
)
BEGUN_LATE = events.define(
    954,
    "begun_late",
    _INFO,
    "A server began a request that cannot be withdrawn later than expected,"
    " while a newer version of its weights is upcoming.",
    "If there are many: compare `expected_ms` and `measured_ms` with its pace.",
)
