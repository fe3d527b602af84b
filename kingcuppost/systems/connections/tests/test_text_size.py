"""Fields of a JSON text are counted before it is parsed."""

import time

from kingcuppost.systems.connections import count_fields


def test_marks_within_strings_count_only_below_the_limit() -> None:
    """A text of one long string is no deep structure, so it must not be refused."""
    text = b'{"body": "' + b'[{\\",' * 1_000 + b'"}'
    assert count_fields(text, 100) == 4
    assert count_fields(b"[1," + text + b"]", 100) == 6


def test_empty_objects_count_more_than_numbers() -> None:
    """Steps of 3 bytes each cost a hundred times their bytes when they are parsed."""
    assert count_fields(b"[" + b"{}," * 87_000 + b"{}]", 131_072) > 131_072
    assert count_fields(b"[" + b"10," * 87_000 + b"1]", 131_072) < 131_072


def test_unterminated_strings_are_counted_in_linear_time() -> None:
    """A search that starts again at each quote would take minutes."""
    text = b"," * 200 + b'"' + b'\\"' * 500_000
    started_s = time.perf_counter()
    assert count_fields(text, 100) == 200
    assert time.perf_counter() - started_s < 5
