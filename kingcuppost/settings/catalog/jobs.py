"""Keys about jobs and gangs."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

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
        "job.reservation_ms",
        1_500,
        "How long a worker holds a reservation without renewal, cut so that with "
        "log.fresh_ms no start is later than 3 s after its view.",
        "ms",
        least=100,
        most=2_500,
    )
)
declare(
    SettingKey(
        "job.lost_ms",
        30_000,
        "Silence of a member after which its gang is stopped if no other runs.",
        "ms",
        least=500,
        most=3_600_000,
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
