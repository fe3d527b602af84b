"""Keys about jobs and gangs."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "job.placement_policy",
        "shapes",
        "Policy that places gangs; read at the root, for all teams alike.",
        choices=("shapes", "backfill", "first_fit"),
    )
)
declare(
    SettingKey(
        "job.lease_ms",
        15_000,
        "How long a member may run after its gang was last known whole.",
        "ms",
        minimum=500,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "job.poll_ms",
        500,
        "Period at which a sidecar renews leases and asks for task states.",
        "ms",
        minimum=20,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "job.reservation_ms",
        1_500,
        "How long a worker holds a reservation without renewal, cut so that with "
        "log.fresh_ms no start is later than 3 s after its view.",
        "ms",
        minimum=100,
        maximum=2_500,
    )
)
declare(
    SettingKey(
        "job.lost_ms",
        30_000,
        "Silence of a member after which its gang is stopped if no other runs.",
        "ms",
        minimum=500,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.reserve_timeout_ms",
        5_000,
        "Time within which all members of a gang must be reserved.",
        "ms",
        minimum=200,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "job.checkpoint_grace_ms",
        3_000,
        "Time that a task gets for a checkpoint before it is stopped.",
        "ms",
        minimum=0,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "job.isolation_ms",
        300_000,
        "Time without log and entries after which a sidecar stops its tasks.",
        "ms",
        minimum=1_000,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.worker_timeout_ms",
        2_000,
        "How long an order to the worker may take.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "job.urgent_grace_ms",
        800,
        "Time for a checkpoint when interactive work needs the accelerators.",
        "ms",
        minimum=0,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "job.queue_depth",
        64,
        "Different waiting jobs that one pass over the queue tries to place.",
        "jobs",
        minimum=1,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "job.overtake_limit_ms",
        43_200_000,
        "Age by which the longest overnight job goes before all later ones.",
        "ms",
        minimum=0,
        maximum=604_800_000,
    )
)
declare(
    SettingKey(
        "job.keep_bound_ms",
        21_600_000,
        "How long the first job in the queue waits for a place that is kept for it "
        "before borrowers there are stopped.",
        "ms",
        minimum=0,
        maximum=86_400_000,
    )
)
declare(
    SettingKey(
        "job.zone_keep_ms",
        60_000,
        "How long gangs run on in an availability zone taken out, before they are "
        "checkpointed and moved.",
        "ms",
        minimum=0,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.fleet_settle_ms",
        10_000,
        "How long the workers must be unchanged before a job is refused because "
        "none could ever hold it.",
        "ms",
        minimum=0,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.failed_worker_limit",
        3,
        "Distinct good workers on which a job may fail before it is stopped.",
        "workers",
        minimum=1,
        maximum=100,
    )
)
declare(
    SettingKey(
        "worker.failed_job_limit",
        3,
        "Distinct jobs in a row that may fail on a worker before it is set aside.",
        "jobs",
        minimum=1,
        maximum=100,
    )
)
declare(
    SettingKey(
        "worker.pause_ms",
        2_000,
        "Pause without work for a worker that refused a reservation or did not "
        "answer it; doubles with each that follows.",
        "ms",
        minimum=100,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "worker.probe_ms",
        600_000,
        "Pause after which a worker that was set aside is probed with one job.",
        "ms",
        minimum=1_000,
        maximum=86_400_000,
    )
)
declare(
    SettingKey(
        "job.compact_after_ms",
        600_000,
        "How long a place is kept before borrowers that hold at most half of it are "
        "checkpointed and moved.",
        "ms",
        minimum=0,
        maximum=86_400_000,
    )
)
