"""An explanation of a placement is asked from the holder and printed."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from expression import Ok, Result

from kingcuppost.batch.models.explanations import encode_explain_reply
from kingcuppost.batch.tables.decision import Timeliness
from kingcuppost.batch.tables.explanation import (
    ChosenMinion,
    PlacementExplanation,
    PreemptedRun,
    StepExplanation,
)
from kingcuppost.batch.tables.job import TaskName
from kingcuppost.batch.tables.messages import ExplainOutcome, ExplainReply
from kingcuppost.batch.tables.waiting import WaitReason
from kingcuppost.cli import explain_placement, main
from kingcuppost.edges.http_client import Response
from kingcuppost.programs.command_requests import CommandRequest
from kingcuppost.tables.config import Address

ENTRY, HOLDER = Address("10.0.0.1", 7000), Address("10.0.0.2", 7000)
EXPLANATION = PlacementExplanation(
    rank=0,
    timeliness=Timeliness.IN_TIME,
    minions=4,
    usable=3,
    waiting_steps=2,
    is_decision_due=False,
    are_reservations_whole=True,
    steps=(
        StepExplanation(
            0,
            3,
            eligible=3,
            chosen=(ChosenMinion("m-1", "r-1", "z-1", 2, 0.5, True),),
            preempted=(
                PreemptedRun(TaskName("0123456789abcdef", 0, 1, 2), 4, "m-2", 3, 5, 6),
            ),
            waiting=1,
            reason=WaitReason.PREEMPTION,
            expected_ms=1_400,
            retry_ms=1_000,
        ),
        StepExplanation(1, 2, needs=(0,), waiting=2),
    ),
)
TEXT = """\
rank 0, within its team's guarantee; the job can end in time if it starts now
3 of 4 minions may be used; 2 steps of other jobs wait
step 0: 2 of 3 tasks would be placed now, 3 minions suit
  2 on m-1 in rack r-1, zone z-1, speed 0.50, slow
  preempts 0123456789abcdef.0.1.2 of rank 3 on m-2 with its gang of 5, which loses \
6.0 core-seconds
  1 would wait: preemption
  until: the end of runs that are stopped for it or end soon (expected in 1.4 s, next \
decision in 1.0 s at most)
step 1: 2 tasks wait for the steps 0
"""


@pytest.fixture
def answers() -> dict[Address, ExplainReply | None]:
    """Answers by the address that is asked; None for one without a body."""
    return {
        ENTRY: ExplainReply("", ExplainOutcome.REDIRECTED, holder=HOLDER),
        HOLDER: ExplainReply("", ExplainOutcome.EXPLAINED, explanation=EXPLANATION),
    }


@pytest.fixture
def asked(
    monkeypatch: pytest.MonkeyPatch, answers: dict[Address, ExplainReply | None]
) -> list[CommandRequest]:
    """Answer requests without a network; return the list of those that are sent."""
    requests: list[CommandRequest] = []

    def send_one(request: CommandRequest) -> Result:
        requests.append(request)
        reply = answers[request.address]
        body = b"" if reply is None else encode_explain_reply(reply)
        return Ok(Response(404 if reply is None else 200, body))

    def send(first: CommandRequest, follow: Callable) -> list[Result]:
        result = send_one(first)
        return [result, *map(send_one, follow(result))]

    monkeypatch.setattr(explain_placement, "send_with_follow_ups", send)
    return requests


@pytest.fixture
def command(tmp_path: Path) -> list[str]:
    path = tmp_path / "job.json"
    path.write_text('{"steps": [{"count": 3}]}')
    options = ["--queue", "q", "--team", "t", "--peer", str(ENTRY)]
    return ["explain", "placement", str(path), *options]


def test_the_answer_of_the_holder_is_printed(
    asked: list[CommandRequest], command: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main(command) == 0
    assert capsys.readouterr().out == TEXT
    assert [request.address for request in asked] == [ENTRY, HOLDER]
    assert json.loads(asked[1].body) == {
        "queue": "q",
        "team": "t",
        "submission": '{"steps": [{"count": 3}]}',
    }


def test_the_answer_is_printed_as_json(
    asked: list[CommandRequest], command: list[str], capsys: pytest.CaptureFixture
) -> None:
    assert main([*command, "--json"]) == 0
    answer = json.loads(capsys.readouterr().out)
    assert answer["explanation"]["steps"][0]["chosen"][0]["minion"] == "m-1"


@pytest.mark.parametrize(
    ("reply", "exit_code", "text"),
    [
        (ExplainReply("", ExplainOutcome.BAD, "there is no queue 'q'"), 2, "no queue"),
        (ExplainReply("", ExplainOutcome.NOT_NOW, "it pauses"), 1, "it pauses"),
        # the lease may move on while the command follows it
        (ExplainReply("", ExplainOutcome.REDIRECTED, holder=ENTRY), 1, "10.0.0.1"),
        (None, 1, "status 404"),
    ],
    ids=["bad", "not now", "moved", "earlier build"],
)
def test_an_answer_without_an_explanation_is_told(
    asked: list[CommandRequest],
    answers: dict[Address, ExplainReply | None],
    command: list[str],
    capsys: pytest.CaptureFixture,
    reply: ExplainReply | None,
    exit_code: int,
    text: str,
) -> None:
    answers[HOLDER] = reply
    assert main(command) == exit_code
    assert text in capsys.readouterr().err
