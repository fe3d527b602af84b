"""Keys of callers' requests, of serving them, of heartbeats and of leave notices."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "heartbeat.full_gap_ms",
        800,
        "Minimum mean interval between full reports at the holder of the scheduling "
        "lease; their period grows with the number of sidecars.",
        "ms",
        minimum=1,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "heartbeat.gap_ms",
        250,
        "Minimum mean interval between heartbeats at an entry; their period grows with "
        "the number of sidecars per entry.",
        "ms",
        minimum=1,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "heartbeat.period_ms",
        10_000,
        "Minimum period of a sidecar's heartbeats.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "heartbeat.retry_ms",
        200,
        "Pause before unconfirmed reports of gang members are sent again.",
        "ms",
        minimum=10,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "heartbeat.full_ms",
        60_000,
        "Minimum period at which a sidecar reports all its gang members.",
        "ms",
        minimum=1_000,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "heartbeat.timeout_ms",
        1_000,
        "Timeout of a heartbeat.",
        "ms",
        minimum=50,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "request.timeout_ms",
        10_000,
        "Time within which a request is answered, unless it specifies a shorter one.",
        "ms",
        minimum=50,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "request.queue_limit",
        200,
        "Maximum number of open requests of a team at an entry.",
        "requests",
        minimum=1,
        maximum=100_000,
    )
)
declare(
    SettingKey(
        "request.attempts",
        3,
        "Maximum number of attempts for an idempotent request.",
        "attempts",
        minimum=1,
        maximum=10,
    )
)
declare(
    SettingKey(
        "request.silence_ms",
        1_000,
        "Timeout of an attempt's first exchange with a sidecar; it grows with each "
        "resend, as the sidecar's hold time doubles from half this value up to 8 s.",
        "ms",
        minimum=100,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "request.claim_timeout_ms",
        3_000,
        "Time after a non-idempotent request's arrival at which it is closed if its "
        "claim was proposed and is not confirmed.",
        "ms",
        minimum=100,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "request.retry_share",
        0.1,
        "Retries that each request adds to its team's retry budget.",
        "retries",
        minimum=0,
        maximum=1,
    )
)
declare(
    SettingKey(
        "request.retry_burst",
        10.0,
        "Maximum number of retries in a team's retry budget.",
        "retries",
        minimum=0,
        maximum=1_000,
    )
)
declare(
    SettingKey(
        "request.routing",
        "two_choices",
        "How a minion is chosen from those with a free slot.",
        choices=("two_choices", "random", "round_robin"),
    )
)
declare(
    SettingKey(
        "serve.memory_attempts",
        4_096,
        "Maximum number of finished attempts in a sidecar's reply cache.",
        "attempts",
        minimum=16,
        maximum=100_000,
    )
)
declare(
    SettingKey(
        "serve.memory_mb",
        32,
        "Maximum total size of the answers in a sidecar's reply cache.",
        "MB",
        minimum=1,
        maximum=128,
    )
)
declare(
    SettingKey(
        "serve.memory_ms",
        600_000,
        "Age of a finished attempt beyond which a sidecar evicts it from its reply "
        "cache, once another attempt finishes.",
        "ms",
        minimum=1_000,
        maximum=86_400_000,
    )
)
declare(
    SettingKey(
        "stop.announce_ms",
        2_000,
        "How long an idle process that stops waits for the log to accept its leave "
        "notice.",
        "ms",
        minimum=0,
        maximum=60_000,
    )
)
