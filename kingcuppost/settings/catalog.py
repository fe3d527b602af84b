"""The declared keys, by theme."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "log.poll_wait_ms",
        2_000,
        "How long a read may wait at the log for a new record.",
        "ms",
        least=10,
        most=3_000,
    )
)
declare(
    SettingKey(
        "log.timeout_ms",
        1_500,
        "How long an exchange with the log may take beyond its wait.",
        "ms",
        least=50,
        most=10_000,
    )
)
declare(
    SettingKey(
        "log.fresh_ms",
        1_000,
        "How old a read at the head may be for a task to start on it.",
        "ms",
        least=50,
        most=2_000,
    )
)
declare(
    SettingKey(
        "log.retry_ms",
        200,
        "Pause before a failed exchange with the log is tried again.",
        "ms",
        least=10,
        most=10_000,
    )
)
declare(
    SettingKey(
        "log.queue_limit",
        1_000,
        "Records that may wait for the log in one process.",
        "records",
        least=1,
        most=100_000,
    )
)
declare(
    SettingKey(
        "operator.timeout_ms",
        5_000,
        "How long an operator's change waits for its verdict.",
        "ms",
        least=100,
        most=60_000,
    )
)
declare(
    SettingKey(
        "lease.ping_ms",
        1_000,
        "Period at which entries ask the holder of the scheduling lease.",
        "ms",
        least=50,
        most=10_000,
    )
)
declare(
    SettingKey(
        "lease.lost_ms",
        3_000,
        "Silence of the holder after which another entry claims the lease.",
        "ms",
        least=200,
        most=60_000,
    )
)
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
declare(
    SettingKey(
        "job.placement_policy",
        "shapes",
        "Name of the policy that places gangs.",
    )
)
declare(
    SettingKey(
        "job.lease_ms",
        5_000,
        "How long a member may run after its gang was last known whole.",
        "ms",
        least=500,
        most=60_000,
    )
)
declare(
    SettingKey(
        "job.poll_ms",
        500,
        "Period at which a sidecar renews leases and asks for task states.",
        "ms",
        least=20,
        most=10_000,
    )
)
declare(
    SettingKey(
        "job.reserve_timeout_ms",
        5_000,
        "Time within which all members of a gang must be reserved.",
        "ms",
        least=200,
        most=60_000,
    )
)
declare(
    SettingKey(
        "job.checkpoint_grace_ms",
        3_000,
        "Time that a task gets for a checkpoint before it is stopped.",
        "ms",
        least=0,
        most=600_000,
    )
)
declare(
    SettingKey(
        "job.isolation_ms",
        300_000,
        "Time without log and entries after which a sidecar stops its tasks.",
        "ms",
        least=1_000,
        most=3_600_000,
    )
)
declare(
    SettingKey(
        "job.worker_timeout_ms",
        2_000,
        "How long an order to the worker may take.",
        "ms",
        least=50,
        most=60_000,
    )
)
declare(
    SettingKey(
        "stop.bound_ms",
        30_000,
        "Time within which a graceful stop is over.",
        "ms",
        least=100,
        most=600_000,
    )
)
