"""Log events of claims and suspects, numbered from 550."""

from clementinegw.telemetry import events

LOG_DOWN = events.define(
    550,
    "claims_log_down",
    events.Level.WARNING,
    "The log is unavailable to claims; keyed requests are refused with a time"
    " to retry.",
    "Restore the platform's log.",
)
LOG_UP = events.define(
    551, "claims_log_up", events.Level.INFO, "Claims can use the log again."
)
SHARD_READ = events.define(
    552,
    "claims_shard_read",
    events.Level.INFO,
    "This entry has read a shard of claims and batches appends for it.",
)
STREAM_WENT_BACK = events.define(
    553,
    "claims_stream_went_back",
    events.Level.ERROR,
    "A stream of claims is older than when it was last read.",
    "The log was restored from an older state: keys that were first used"
    " before now are refused as expired, so that none runs twice.",
)
CLAIM_RECORD_MALFORMED = events.define(
    554,
    "claim_record_malformed",
    events.Level.ERROR,
    "A record of a claims or suspects stream cannot be decoded and is skipped.",
    "Check whether another program writes to the log.",
)
SUSPECT_FOUND = events.define(
    555,
    "suspect_found",
    events.Level.WARNING,
    "Requests were in flight when a server crashed; from now on they run"
    " alone.",
)
SUSPECT_REFUSED = events.define(
    556,
    "suspect_refused",
    events.Level.ERROR,
    "A request was in flight at two crashes and is refused by all entries.",
    "See docs/operators/at-most-once.md.",
)
