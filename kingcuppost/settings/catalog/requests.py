"""Keys about callers' requests and heartbeats."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "heartbeat.full_gap_ms",
        800,
        "Least mean time between the full reports that the scheduling holder hears; "
        "their period stretches with the sidecars.",
        "ms",
        minimum=1,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "heartbeat.gap_ms",
        250,
        "Least mean time between the heartbeats that one entry hears; the period "
        "stretches with the sidecars of an entry.",
        "ms",
        minimum=1,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "heartbeat.period_ms",
        10_000,
        "Period of a sidecar's heartbeats.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "heartbeat.retry_ms",
        200,
        "Pause before members' reports that were not confirmed are sent again.",
        "ms",
        minimum=10,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "heartbeat.full_ms",
        60_000,
        "Period at which a sidecar reports all its members again.",
        "ms",
        minimum=1_000,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "heartbeat.timeout_ms",
        1_000,
        "How long a heartbeat's exchange may take.",
        "ms",
        minimum=50,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "request.timeout_ms",
        10_000,
        "Time within which a request is answered, unless it names less.",
        "ms",
        minimum=50,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "request.queue_limit",
        200,
        "Requests of one team that may wait at one entry.",
        "requests",
        minimum=1,
        maximum=100_000,
    )
)
declare(
    SettingKey(
        "request.attempts",
        3,
        "Most attempts for one idempotent request.",
        "attempts",
        minimum=1,
        maximum=10,
    )
)
declare(
    SettingKey(
        "request.silence_ms",
        1_000,
        "How long an exchange with a sidecar may hear nothing; the bound doubles "
        "while the sidecar says that the attempt still runs.",
        "ms",
        minimum=100,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "request.claim_timeout_ms",
        3_000,
        "How long a non-idempotent request waits for the log to confirm its claim.",
        "ms",
        minimum=100,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "request.retry_share",
        0.1,
        "Retries that each request adds to its team's budget.",
        "retries",
        minimum=0,
        maximum=1,
    )
)
declare(
    SettingKey(
        "request.retry_burst",
        10.0,
        "Most retries that a team's budget holds.",
        "retries",
        minimum=0,
        maximum=1_000,
    )
)
declare(
    SettingKey(
        "request.routing",
        "two_choices",
        "How a minion is chosen among those with a free slot.",
        choices=("two_choices", "random", "round_robin"),
    )
)
declare(
    SettingKey(
        "serve.memory_attempts",
        4_096,
        "Finished attempts whose outcome a sidecar remembers.",
        "attempts",
        minimum=16,
        maximum=100_000,
    )
)
declare(
    SettingKey(
        "serve.memory_mb",
        32,
        "Answers that a sidecar remembers.",
        "MB",
        minimum=1,
        maximum=128,
    )
)
declare(
    SettingKey(
        "serve.memory_ms",
        600_000,
        "How long a sidecar remembers a finished attempt.",
        "ms",
        minimum=1_000,
        maximum=86_400_000,
    )
)
declare(
    SettingKey(
        "stop.announce_ms",
        2_000,
        "How long an idle process that stops waits for the log to take its leave.",
        "ms",
        minimum=0,
        maximum=60_000,
    )
)
