"""Settings files and keys of the settings tree keep their stored names."""

from pathlib import Path

import pytest

from kingcuppost.models.files import read_config
from kingcuppost.platform.settings import read_settings
from kingcuppost.settings import KEYS
from kingcuppost.tables.identity import Role
from kingcuppost.tests.format_files import FORMATS_FOLDER, read_json, to_values

SETTINGS_ROWS = read_json("settings_rows.json")
ROOT = Path(__file__).parents[2]
EXAMPLE_FILES = sorted((ROOT / "examples" / "settings").rglob("*.toml"))


@pytest.mark.parametrize("name", ["entry", "sidecar"])
def test_a_settings_file_reads_into_the_same_row(name: str) -> None:
    config = read_config(str(FORMATS_FOLDER / f"{name}.toml")).ok
    assert to_values(config) == SETTINGS_ROWS[name]


@pytest.mark.parametrize("role", Role)
def test_the_settings_file_of_the_platform_reads_into_the_same_row(
    role: Role, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("KINGCUPPOST_SETTINGS", str(FORMATS_FOLDER / "platform.toml"))
    row = to_values(read_settings(role).ok)
    assert row == SETTINGS_ROWS[f"platform {role.value}"]


@pytest.mark.parametrize("path", EXAMPLE_FILES, ids=lambda path: path.stem)
def test_an_example_file_is_valid(path: Path) -> None:
    assert read_config(str(path)).is_ok()


def test_setting_keys_keep_their_names_types_and_limits() -> None:
    keys = {}
    for name, key in KEYS.items():
        _, default, _, *limits = to_values(key)
        keys[name] = [type(default).__name__, default, *limits]
    assert keys == read_json("setting_keys.json")
