"""The printed time line shows the folding of each record once."""

from kingcuppost.cli.timeline import collapse_folds
from kingcuppost.tables.event import Event


def make_event(process: str, step: str, receives: str = "") -> Event:
    return Event(
        1, process, "inc", 1, step, "It happened.", offset=7, receives=receives
    )


def test_foldings_of_one_record_become_one_row() -> None:
    events = [
        make_event("entry-0", "propose.team_put"),
        make_event("entry-0", "fold.team_put", "rec-1"),
        make_event("minion-0", "fold.team_put", "rec-1"),
        make_event("minion-1", "member.start"),
        make_event("minion-1", "fold.team_put", "rec-1"),
        make_event("entry-0", "fold.zone_put", "rec-2"),
    ]
    collapsed = collapse_folds(events)
    assert [(row.process, row.step) for row in collapsed] == [
        ("entry-0", "propose.team_put"),
        ("entry-0", "fold.team_put"),
        ("minion-1", "member.start"),
        ("entry-0", "fold.zone_put"),
    ]
    assert collapsed[1].text == "It happened. Also by 2 more."
    assert collapsed[3].text == "It happened."
