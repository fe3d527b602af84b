"""Keys of the platform's log, the scheduling lease and graceful stops."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "log.poll_wait_ms",
        2_000,
        "How long the log may delay its answer to a read until there is a new record.",
        "ms",
        minimum=10,
        maximum=3_000,
    )
)
declare(
    SettingKey(
        "log.timeout_ms",
        10_000,
        "Timeout of an exchange with the log, in addition to the read's wait.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "log.late_ms",
        1_000,
        "Time without an answer from the log, in addition to the read's wait, after "
        "which another exchange is started on a new connection.",
        "ms",
        minimum=50,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "log.silent_ms",
        1_500,
        "Time without an answer from the log, in addition to the read's wait, after "
        "which the log is considered unresponsive.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "log.group_ms",
        200,
        "How long a pending append delays later records, to send them as one group.",
        "ms",
        minimum=0,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "log.search_retry_ms",
        1_000,
        "Pause before the log is searched again for a complete snapshot.",
        "ms",
        minimum=10,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "snapshot.records",
        20_000,
        "Records since the newest snapshot after which another is written.",
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
        "Maximum age of the read of the log's head on which a task's start is based.",
        "ms",
        minimum=50,
        maximum=2_000,
    )
)
declare(
    SettingKey(
        "log.retry_ms",
        200,
        "Pause before a failed exchange with the log is retried.",
        "ms",
        minimum=10,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "log.queue_limit",
        1_000,
        "Number of records waiting for the log in one process at which changes that "
        "operators and callers request are refused.",
        "records",
        minimum=1,
        maximum=100_000,
    )
)
declare(
    SettingKey(
        "operator.timeout_ms",
        5_000,
        "How long an operator's change waits for its result.",
        "ms",
        minimum=100,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "lease.ping_ms",
        1_000,
        "Period at which entries check the holder of the scheduling lease.",
        "ms",
        minimum=50,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "lease.lost_ms",
        3_000,
        "Time without an answer from the holder after which another entry claims the "
        "scheduling lease.",
        "ms",
        minimum=200,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "stop.bound_ms",
        30_000,
        "Time limit of a graceful stop.",
        "ms",
        minimum=100,
        maximum=600_000,
    )
)
