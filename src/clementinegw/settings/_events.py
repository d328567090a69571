"""Log events 200 to 299: settings."""

from clementinegw.telemetry import events

REVISION = events.define(
    200,
    "settings_revision",
    events.Level.INFO,
    "A newer revision of the settings is in force.",
)
CHANGE_REJECTED = events.define(
    201,
    "settings_change_rejected",
    events.Level.INFO,
    "A change in the log was rejected; every process rejects it.",
    "None: the command of the operator who published it reports the result.",
)
RECORD_SKIPPED = events.define(
    202,
    "settings_record_skipped",
    events.Level.WARNING,
    "A record in the `settings` stream is neither a change nor a snapshot.",
    "Find out what writes to the stream besides `clementinegw settings`.",
)
HALTED = events.define(
    203,
    "settings_halted",
    events.Level.ERROR,
    "A record has a schema that this version does not know; later changes are"
    " not applied.",
    "Install the version of the operators' command.",
)
LOG_REFUSED = events.define(
    210,
    "settings_log_refused",
    events.Level.ERROR,
    "The log is older than the settings in force, was replaced, or lacks"
    " records; the settings in force are kept.",
    "See docs/operators/settings.md, alarm 210, for each reason.",
)
LOG_BELIEVED = events.define(
    211,
    "settings_log_believed",
    events.Level.INFO,
    "The log continues the settings in force again.",
)
RESTORED = events.define(
    212,
    "settings_restored",
    events.Level.WARNING,
    "Accepted changes that the log had lost were restored from a snapshot.",
    "Compare `settings history` with what was declared; publish the changes"
    " listed in `lost` again.",
)
SNAPSHOT_APPENDED = events.define(
    213,
    "settings_snapshot_appended",
    events.Level.INFO,
    "This process appended a snapshot to the log.",
)
DIVERGED = events.define(
    214,
    "settings_diverged",
    events.Level.ERROR,
    "Two processes have different settings under the same revision.",
    "This is a defect: report it with the log line.",
)
LOG_UNREACHABLE = events.define(
    220,
    "settings_log_unreachable",
    events.Level.WARNING,
    "The log cannot be read; the settings are kept and peers are queried.",
    "Check the platform's log service.",
)
LOG_REACHABLE = events.define(
    221,
    "settings_log_reachable",
    events.Level.INFO,
    "The log can be read again.",
)
FROM_PEER = events.define(
    222,
    "settings_from_peer",
    events.Level.INFO,
    "The settings were adopted from a peer's snapshot.",
)
PEER_REFUSED = events.define(
    223,
    "settings_peer_refused",
    events.Level.WARNING,
    "A peer's settings were refused: older than a known revision, or damaged.",
)
RELAY_CHANGED = events.define(
    224,
    "settings_relay_changed",
    events.Level.INFO,
    "This process started or stopped following the log directly.",
)
