"""Reads the resource use of a process from /proc and from its own metrics."""

import urllib.request
from dataclasses import dataclass
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from standins.processes import Process

__all__ = ["Usage", "read_usage"]

KB_PER_MB = 1_024
NS_PER_SECOND = 1_000_000_000
METRICS_TIMEOUT_S = 60


@dataclass(frozen=True)
class Usage:
    """Resources that a process has used since its start.

    Attributes
    ----------
    processor_s : float
        Processor time, in seconds.
    memory_mb : float
        Resident memory, in MB.
    bytes_total : float
        Bytes sent and received over TCP.
    messages : float
        Messages and answers sent to peers, log and worker.
    appends : float
        Appends sent to the log.
    folded_offset : float
        Offset of the last folded record.
    """

    processor_s: float
    memory_mb: float
    bytes_total: float
    messages: float
    appends: float
    folded_offset: float

    def add(self, other: "Usage") -> "Usage":
        """Return the sum; memory and the folded offset stay those of this one."""
        pairs = zip(vars(self).items(), vars(other).values(), strict=True)
        total = {name: mine + yours for (name, mine), yours in pairs}
        total.update(memory_mb=self.memory_mb, folded_offset=self.folded_offset)
        return Usage(**total)

    def since(self, before: "Usage") -> "Usage":
        """Return the use since `before`; for memory and the offset, their growth."""
        pairs = zip(vars(self).items(), vars(before).values(), strict=True)
        return Usage(**{name: now - then for (name, now), then in pairs})


def _processor_s(pid: int) -> float:
    """Return the processor time of a single-threaded process, in seconds.

    ``/proc/PID/schedstat`` counts the main thread only.
    """
    text = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii")
    return int(text.split()[0]) / NS_PER_SECOND


def _memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


def _read_metrics(process: Process) -> dict[str, float]:
    """Return the sum of the samples of each metric, and of each of its kinds.

    The keys are ``name`` and ``name:kind``; `kind` is the label of that name.
    """
    url = f"http://127.0.0.1:{process.ports['operators']}/metrics"
    with urllib.request.urlopen(url, timeout=METRICS_TIMEOUT_S) as response:
        text = response.read().decode()
    sums: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = f"{sample.name}:{sample.labels.get('kind', '')}"
            sums[name] = sums.get(name, 0.0) + sample.value
            sums[sample.name] = sums.get(sample.name, 0.0) + sample.value
    return sums


def read_usage(process: Process) -> Usage:
    """Return the resource use of an entry or a sidecar since its start."""
    metrics = _read_metrics(process)
    sent_metric = "kingcuppost_messages_sent_total"
    return Usage(
        _processor_s(process.popen.pid),
        _memory_mb(process.popen.pid),
        metrics.get("kingcuppost_bytes_total", 0.0),
        metrics.get(sent_metric, 0.0),
        metrics.get(f"{sent_metric}:AppendRecords", 0.0),
        metrics.get("kingcuppost_log_folded_offset", 0.0),
    )
