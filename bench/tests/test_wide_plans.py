"""One task's change costs as much in a wide job as in a narrow one."""

from bench.wide_plans import measure_change

NARROW_TASKS = 10
WIDE_TASKS = 10_000
MAX_RATIO = 1.5


def test_the_bytes_of_a_change_do_not_grow_with_the_width_of_a_job() -> None:
    narrow, wide = measure_change(NARROW_TASKS), measure_change(WIDE_TASKS)
    assert wide.size_bytes <= MAX_RATIO * narrow.size_bytes
