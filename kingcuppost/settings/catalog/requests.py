"""Keys about callers' requests and heartbeats."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "heartbeat.period_ms",
        1_000,
        "Period of a sidecar's heartbeats.",
        "ms",
        least=50,
        most=30_000,
    )
)
declare(
    SettingKey(
        "heartbeat.timeout_ms",
        1_000,
        "How long a heartbeat's exchange may take.",
        "ms",
        least=50,
        most=10_000,
    )
)
declare(
    SettingKey(
        "request.timeout_ms",
        10_000,
        "Time within which a request is answered, unless it names less.",
        "ms",
        least=50,
        most=600_000,
    )
)
declare(
    SettingKey(
        "request.queue_limit",
        200,
        "Requests of one team that may wait at one entry.",
        "requests",
        least=1,
        most=100_000,
    )
)
declare(
    SettingKey(
        "request.attempts",
        3,
        "Most attempts for one idempotent request.",
        "attempts",
        least=1,
        most=10,
    )
)
