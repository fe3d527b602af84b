"""Keys of jobs, gangs and workers."""

from kingcuppost.settings.keys import SettingKey, declare

__all__: list[str] = []

declare(
    SettingKey(
        "job.placement_policy",
        "shapes",
        "Policy that places gangs; read at the root, so it is the same for all teams.",
        choices=("shapes", "backfill", "first_fit"),
    )
)
declare(
    SettingKey(
        "job.lease_ms",
        15_000,
        "How long a member may run after its gang was last confirmed to be whole.",
        "ms",
        minimum=500,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "job.poll_ms",
        500,
        "Period at which a sidecar renews leases and requests task states.",
        "ms",
        minimum=20,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "job.reservation_ms",
        1_500,
        "How long a worker keeps a reservation without a renewal; shortened so that, "
        "together with log.fresh_ms, no task starts more than 3 s after the view of "
        "the log that its start is based on.",
        "ms",
        minimum=100,
        maximum=2_500,
    )
)
declare(
    SettingKey(
        "job.lost_ms",
        30_000,
        "Time without a report from a member after which its gang is stopped, if no "
        "other member is running.",
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
        "Grace period for a task to write a checkpoint before it is stopped.",
        "ms",
        minimum=0,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "job.isolation_ms",
        300_000,
        "Time without contact to the log and to entries after which a sidecar stops "
        "its tasks.",
        "ms",
        minimum=1_000,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.worker_timeout_ms",
        2_000,
        "Timeout of an order to the worker.",
        "ms",
        minimum=50,
        maximum=60_000,
    )
)
declare(
    SettingKey(
        "job.urgent_grace_ms",
        800,
        "Grace period for a checkpoint when interactive work needs the accelerators.",
        "ms",
        minimum=0,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "job.queue_depth",
        64,
        "Distinct waiting jobs per urgency that a pass over the queue tries to place.",
        "jobs",
        minimum=1,
        maximum=10_000,
    )
)
declare(
    SettingKey(
        "job.overtake_limit_ms",
        43_200_000,
        "Time after an overnight job's submission from which later jobs can no longer "
        "overtake it.",
        "ms",
        minimum=0,
        maximum=604_800_000,
    )
)
declare(
    SettingKey(
        "job.keep_bound_ms",
        21_600_000,
        "How long the first job in the queue waits on its advance reservation before "
        "borrowers on the reserved accelerators are stopped.",
        "ms",
        minimum=0,
        maximum=86_400_000,
    )
)
declare(
    SettingKey(
        "job.zone_keep_ms",
        60_000,
        "How long gangs continue to run in an availability zone that was taken out of "
        "service before they are checkpointed and moved.",
        "ms",
        minimum=0,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.fleet_settle_ms",
        10_000,
        "How long the set of workers must be unchanged before a job is refused because "
        "it could never be placed.",
        "ms",
        minimum=0,
        maximum=3_600_000,
    )
)
declare(
    SettingKey(
        "job.failed_worker_limit",
        3,
        "Distinct workers, other than quarantined ones, on which a job may fail before "
        "it is stopped.",
        "workers",
        minimum=1,
        maximum=100,
    )
)
declare(
    SettingKey(
        "worker.failed_job_limit",
        3,
        "Distinct jobs in a row that may fail on a worker before it is quarantined.",
        "jobs",
        minimum=1,
        maximum=100,
    )
)
declare(
    SettingKey(
        "worker.pause_ms",
        2_000,
        "Pause without work for a worker that refused a reservation or did not answer "
        "it; doubles with each further failure.",
        "ms",
        minimum=100,
        maximum=600_000,
    )
)
declare(
    SettingKey(
        "worker.probe_ms",
        600_000,
        "Time after which a quarantined worker is probed with one job.",
        "ms",
        minimum=1_000,
        maximum=86_400_000,
    )
)
declare(
    SettingKey(
        "job.compact_after_ms",
        600_000,
        "Age of an advance reservation at which borrowers that occupy at most half of "
        "it are checkpointed and moved.",
        "ms",
        minimum=0,
        maximum=86_400_000,
    )
)
