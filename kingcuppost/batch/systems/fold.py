"""The fold: applies the records of the log's streams to the agreed state."""

from collections.abc import Callable
from typing import Any

from kingcuppost.batch.systems.freshness import FRESH_MS
from kingcuppost.batch.systems.holder_election import extension_end_ms
from kingcuppost.batch.systems.registry import Phase, system
from kingcuppost.batch.tables.fleet import EntryMember, HolderView
from kingcuppost.batch.tables.job import Job, Progress, ProgressParts
from kingcuppost.batch.tables.messages import (
    CancelRecord,
    ClaimRecord,
    ConfigRecord,
    EntryRecord,
    JobRecord,
    ProgressPartRecord,
    ProgressRecord,
    RecordsRead,
    RemovalRecord,
    RenewRecord,
    SpeedsRecord,
    Stream,
    ZoneRecord,
)
from kingcuppost.batch.tables.world import BatchWorld
from kingcuppost.tables.identity import Role
from kingcuppost.utils.registry import Registry

__all__ = ["fold_streams"]

Applier = Callable[[BatchWorld, int, Any], None]
appliers: Registry[type, Applier] = Registry("applier of record")


@system(Phase.FOLD, (Role.ENTRY,), order=10)
def fold_streams(world: BatchWorld, now_ms: int) -> None:
    """Apply the records that were read, in the order of their stream.

    Records that the view holds already are skipped, and so is a listing that ends
    before it: neither may bring back an older state.
    """
    for batch in world.inbox.take(RecordsRead):
        view = world.agreed.views[batch.stream]
        if batch.is_complete and batch.end < view.end:
            world.note(
                "log",
                "An older listing was ignored.",
                stream=batch.stream,
                offset=batch.end,
                known=view.end,
            )
            continue
        if batch.reaches_end:
            _update_freshness(world, batch, now_ms)
        if batch.is_complete:
            _remove_unlisted(world, batch)
        for offset, record in batch.records:
            if offset >= view.end:
                appliers[type(record)](world, offset, record)
        view.end = max(view.end, batch.end)


def _update_freshness(world: BatchWorld, batch: RecordsRead, now_ms: int) -> None:
    view = world.agreed.views[batch.stream]
    if view.fresh_ms is None or batch.sent_ms - view.fresh_ms > FRESH_MS:
        view.gap_ended_ms = now_ms
        world.note(
            "log",
            "A stream is up to date.",
            stream=batch.stream,
            offset=batch.end,
            gap_ms=-1 if view.fresh_ms is None else now_ms - view.fresh_ms,
        )
    view.fresh_ms = max(view.fresh_ms or 0, batch.sent_ms)


def _remove_unlisted(world: BatchWorld, batch: RecordsRead) -> None:
    """Remove the rows that are missing from a complete listing of a stream."""
    agreed = world.agreed
    records = [record for _, record in batch.records]
    if batch.stream is Stream.JOBS:
        listed = {record.job.id for record in records if isinstance(record, JobRecord)}
        for job in list(agreed.jobs):
            if job.id not in listed:
                _remove_job(world, job.id)
    elif batch.stream is Stream.MEMBERS:
        names = {record.name for record in records if isinstance(record, EntryRecord)}
        for entry in agreed.entries:
            if entry.name not in names:
                agreed.entries.delete(entry.name)
    else:
        zones = {
            record.availability_zone
            for record in records
            if isinstance(record, ZoneRecord)
        }
        for zone in [zone for zone in agreed.closed_zones if zone not in zones]:
            _open_zone(world, zone)


@appliers.register(JobRecord)
def _apply_job(world: BatchWorld, offset: int, record: JobRecord) -> None:
    """Add a job; later records of the same identifier are ignored."""
    if record.job.id in world.agreed.jobs:
        return
    record.job.offset = offset
    world.agreed.jobs.put(record.job)
    world.schedule.changed_jobs[record.job.id] = None


@appliers.register(CancelRecord)
def _apply_cancel(world: BatchWorld, offset: int, record: CancelRecord) -> None:
    if record.job_id in world.agreed.jobs:
        world.agreed.jobs.update(record.job_id, cancelled=True)
        world.schedule.changed_jobs[record.job_id] = None


@appliers.register(ProgressRecord)
def _apply_progress(world: BatchWorld, offset: int, record: ProgressRecord) -> None:
    """Replace the progress of a job, and of all its parts."""
    job = _find_job(world, record.job_id, record.progress)
    if job is None:
        return
    world.agreed.jobs.update(job.id, progress=record.progress)
    parts = world.agreed.progress_parts.get(job.id)
    if parts is not None:
        parts.rows.clear()
    if parts is None or offset >= parts.newest_offset:
        _update_state(world, job, record.progress)


@appliers.register(ProgressPartRecord)
def _apply_progress_part(
    world: BatchWorld, offset: int, record: ProgressPartRecord
) -> None:
    """Replace a part of a job's progress; the newest part has the state of the job."""
    job = _find_job(world, record.job_id, record.progress)
    if job is None:
        return
    parts = world.agreed.progress_parts.setdefault(job.id, ProgressParts())
    parts.rows[record.part] = record.progress.tasks
    if offset >= parts.newest_offset:
        parts.newest_offset = offset
        _update_state(world, job, record.progress)


def _find_job(world: BatchWorld, job_id: str, progress: Progress) -> Job | None:
    """Return the job of a progress record; None if the record is to be ignored."""
    job = world.agreed.jobs.get(job_id)
    if job is None or _has_tasks(job, progress):
        return job
    world.note("log", "Progress of tasks that the job lacks was skipped.", job=job_id)
    return None


def _update_state(world: BatchWorld, job: Job, progress: Progress) -> None:
    if job.state is not progress.state:
        world.note(
            "job", "The state of a job changed.", job=job.id, state=progress.state
        )
    world.agreed.jobs.update(job.id, state=progress.state, begun=progress.begun)


def _has_tasks(job: Job, progress: Progress) -> bool:
    """Return whether a job has all tasks that a progress record names."""
    return all(
        row.step < len(job.steps) and row.index < job.steps[row.step].count
        for row in progress.tasks
    )


@appliers.register(EntryRecord)
def _apply_entry(world: BatchWorld, offset: int, record: EntryRecord) -> None:
    member = EntryMember(
        record.name,
        record.address,
        record.availability_zone,
        record.incarnation,
        record.record_format,
    )
    world.agreed.entries.put(member)


@appliers.register(ClaimRecord)
def _apply_claim(world: BatchWorld, offset: int, record: ClaimRecord) -> None:
    term = offset + 1
    if term <= world.agreed.holder.term:
        return
    world.agreed.holder = HolderView(
        term,
        record.name,
        record.incarnation,
        record.address,
        world.clock.now_ms(),
        extended_until_ms=extension_end_ms(world),
    )
    world.note("lease", "A term began.", term=term, holder=record.name)


@appliers.register(RenewRecord)
def _apply_renewal(world: BatchWorld, offset: int, record: RenewRecord) -> None:
    holder = world.agreed.holder
    if record.term != holder.term:
        return
    holder.last_renewal_ms = world.clock.now_ms()
    holder.released = record.released


@appliers.register(ConfigRecord)
def _apply_configuration(world: BatchWorld, offset: int, record: ConfigRecord) -> None:
    """Apply a configuration if its version is newer than the current one."""
    agreed = world.agreed
    new = record.configuration
    old = agreed.configuration
    if old is not None and new.version <= old.version:
        return
    agreed.configuration = new
    agreed.configuration_offset = offset
    world.schedule.inputs_changed = True
    world.note(
        "settings", "A configuration is in force.", version=new.version, offset=offset
    )


@appliers.register(ZoneRecord)
def _apply_zone(world: BatchWorld, offset: int, record: ZoneRecord) -> None:
    zone = record.availability_zone
    if zone not in world.agreed.closed_zones:
        world.note("settings", "A zone is closed.", availability_zone=zone)
    world.agreed.closed_zones[zone] = offset
    world.schedule.inputs_changed = True


def _open_zone(world: BatchWorld, zone: str) -> None:
    if world.agreed.closed_zones.pop(zone, None) is not None:
        world.note("settings", "A zone is open again.", availability_zone=zone)
        world.schedule.inputs_changed = True


def _remove_job(world: BatchWorld, job_id: str) -> None:
    world.agreed.jobs.delete(job_id)
    world.agreed.progress_parts.pop(job_id, None)
    world.schedule.changed_jobs[job_id] = None


@appliers.register(SpeedsRecord)
def _apply_speeds(world: BatchWorld, offset: int, record: SpeedsRecord) -> None:
    world.agreed.speeds = record.speeds


@appliers.register(RemovalRecord)
def _apply_removal(world: BatchWorld, offset: int, record: RemovalRecord) -> None:
    kind, _, rest = record.key.partition("/")
    if kind == "zone":
        _open_zone(world, rest)
    elif kind == "job":
        _remove_job(world, rest)
    elif kind == "entry":
        world.agreed.entries.delete(rest)
