"""Bodies of submissions are decoded, or refused with a reason."""

import json

import pytest

from kingcuppost.platform.callers import decode_job


def make_body(**fields: object) -> bytes:
    step = {"count": 2, "cpu": 500, "memMb": 64, "gpu": 1, "estimateMs": 900}
    return json.dumps({"spec": "text", "steps": [step | fields]}).encode()


def test_wire_names_are_mapped_to_fields_of_a_step() -> None:
    body = make_body(
        gang=True, sameRack=True, requirements="a", affinity="r1-1", antiAffinity=2
    )
    step = decode_job(body).ok.steps[0]
    assert (step.cpu_millis, step.memory_mb, step.accelerators) == (500, 64, 1)
    assert step.gang
    assert step.one_rack
    assert (step.label, step.rack, step.most_per_minion) == ("a", "r1-1", 2)


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (make_body(dependsOn=[0]), "names no earlier step"),
        (make_body(count=0), "count"),
        (make_body(count=10**9), "count"),
        (make_body(estimateMs=10**400), "estimateMs"),
        (make_body(gpu=2**53), "gpu"),
        (make_body(longRunning=True), "not served"),
        (make_body(repeatCount=3), "not served"),
        (b'{"spec":"x","steps":[]}', "steps"),
        (b"{", "JSON"),
    ],
)
def test_an_unsupported_body_is_refused_with_a_reason(body: bytes, reason: str) -> None:
    result = decode_job(body)
    assert result.is_error()
    assert reason in result.error


@pytest.mark.parametrize("counts", [(10_000,), (9_999, 1)], ids=str)
def test_a_job_with_more_tasks_than_the_limit_is_refused(
    counts: tuple[int, ...],
) -> None:
    steps = [{"count": count} for count in counts]
    assert decode_job(json.dumps({"steps": steps}).encode()).is_ok()
    steps[0]["count"] += 1
    refused = decode_job(json.dumps({"steps": steps}).encode())
    assert "10000" in refused.error


@pytest.mark.parametrize("step", ["0", '{"count":0}', '{"dependsOn":["x","y"]}'])
def test_validation_stops_at_the_first_wrong_step(step: str) -> None:
    """An error object for each of many wrong steps takes 200 MB."""
    body = f'{{"steps":[{",".join([step] * 50)}]}}'.encode()
    result = decode_job(body)
    assert result.is_error()
    assert result.error.count("steps.") == 1
