"""Keys about the log, the scheduling lease and stopping."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "log.poll_wait_ms",
        2_000,
        "How long a read may wait at the log for a new record.",
        "ms",
        minimum=10,
        maximum=3_000,
    )
)
declare(
    SettingKey(
        "log.timeout_ms",
        10_000,
        "How long an exchange with the log may take beyond its wait.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "log.late_ms",
        1_000,
        "Silence of the log, beyond a wait, after which another exchange starts on a "
        "new connection.",
        "ms",
        minimum=50,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "log.silent_ms",
        1_500,
        "Silence of the log, beyond a wait, after which it counts as silent.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "log.group_ms",
        200,
        "How long an append under way holds later records back, to group them.",
        "ms",
        minimum=0,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "log.search_retry_ms",
        1_000,
        "Pause before the log is searched again for a whole snapshot.",
        "ms",
        minimum=10,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "snapshot.records",
        20_000,
        "Records behind the newest snapshot after which another is written.",
        "records",
        minimum=10,
        maximum=1_000_000,
    )
)
declare(
    SettingKey(
        "snapshot.period_ms",
        3_600_000,
        "Age of the newest snapshot at which another is written; keep it below a "
        "third of the log's retention.",
        "ms",
        minimum=100,
        maximum=604_800_000,
    )
)
declare(
    SettingKey(
        "log.fresh_ms",
        1_000,
        "How old a read at the head may be for a task to start on it.",
        "ms",
        minimum=50,
        maximum=2_000,
    )
)
declare(
    SettingKey(
        "log.retry_ms",
        200,
        "Pause before a failed exchange with the log is tried again.",
        "ms",
        minimum=10,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "log.queue_limit",
        1_000,
        "Records that may wait for the log in one process.",
        "records",
        minimum=1,
        maximum=100_000,
    )
)
declare(
    SettingKey(
        "operator.timeout_ms",
        5_000,
        "How long an operator's change waits for its verdict.",
        "ms",
        minimum=100,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "lease.ping_ms",
        1_000,
        "Period at which entries ask the holder of the scheduling lease.",
        "ms",
        minimum=50,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "lease.lost_ms",
        3_000,
        "Silence of the holder after which another entry claims the lease.",
        "ms",
        minimum=200,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "stop.bound_ms",
        30_000,
        "Time within which a graceful stop is over.",
        "ms",
        minimum=100,
        maximum=600_000,
    )
)
