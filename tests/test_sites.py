"""Tests that the program and its deploy file name no class, plan, zone or machine of a particular site."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
OWN_SITES = sorted((ROOT / "deploy/sites").glob("*/*.toml"))
# The operators' sites are checked only where the bench is installed next to the repository.
OPERATOR_SITES = sorted(
    path
    for pattern in ("sites/*.toml", "more/mass/other/*.toml", "more/users/*.toml")
    for path in (ROOT.parent / "given/kit").glob(pattern)
)
DEPLOY = ROOT / "deploy/balancer.toml"
# Site names that the program uses in another meaning, each with the reason.
OTHER_MEANINGS: dict[str, str] = {}


def program_files() -> list[Path]:
    """Return the deploy file and the files that it names, directly or through their folder."""
    deploy = tomllib.loads(DEPLOY.read_text())
    named = [ROOT / name for key in ("policy", "node") for name in deploy[key]]
    assert all(path.exists() for path in named)
    found = [file for path in named for file in (path.rglob("*.py") if path.is_dir() else [path])]
    return [DEPLOY, *sorted(set(found))]


def site_names(site: dict[str, Any]) -> set[str]:
    """Return the names that are specific to this site."""
    rows = [*site["class"], *site["tenant"], *site["tier"], *(k for t in site["tier"] for k in t["kind"])]
    return {site["name"], *site["net"]["zones"], *(row["name"] for row in rows)}


def lines_naming(name: str, text: str) -> list[str]:
    """Return the lines with the name as a whole word in code, text or comments, also spelled as an identifier."""
    word = re.sub(r"[-_ ]", "[-_ ]?", re.escape(name).replace(r"\-", "-"))
    pattern = re.compile(rf"(?<![A-Za-z0-9]){word}(?![A-Za-z0-9])", re.IGNORECASE)
    return [line.strip() for line in text.splitlines() if pattern.search(line)]


def test_sites_of_our_own_are_whole() -> None:
    assert len(OWN_SITES) >= 3
    for path in OWN_SITES:
        assert path.stem == path.parent.name == tomllib.loads(path.read_text())["name"]
        assert {"real.json", "wire.json", "unlock.txt"} <= {file.name for file in path.parent.iterdir()}
        assert path.stem in (ROOT / "deploy/sites/README.md").read_text()


@pytest.mark.parametrize("path", [*OWN_SITES, *OPERATOR_SITES], ids=lambda path: path.stem)
def test_the_program_and_the_deploy_file_name_no_deployment(path: Path) -> None:
    found = {
        f"{name!r} in {file.relative_to(ROOT)}: {line}"
        for name in site_names(tomllib.loads(path.read_text())) - OTHER_MEANINGS.keys()
        for file in program_files()
        for line in lines_naming(name, file.read_text())
    }
    assert not found


def test_the_scan_would_find_a_name_in_any_dress() -> None:
    for line in (
        'if name == "berth-grab":',
        "BERTH_GRAB = 3",
        "# as berth grab does",
        "self.berth_grab_window",
    ):
        assert lines_naming("berth-grab", line), line
    for line in ("berth", "a berth to grab", "standards", "basics", "outstanding"):
        assert (
            not lines_naming("berth-grab", line)
            and not lines_naming("standard", line)
            and not lines_naming("basic", line)
        )


def test_the_sites_differ_from_each_other_and_from_the_operators() -> None:
    every = [site_names(tomllib.loads(path.read_text())) for path in [*OWN_SITES, *OPERATOR_SITES]]
    for place, ours in enumerate(every[: len(OWN_SITES)]):
        assert not any(ours & other for other in every[place + 1 :])


def test_the_sites_hold_what_their_line_says() -> None:
    sites = {path.stem: tomllib.loads(path.read_text()) for path in OWN_SITES}
    berths, relay = sites["orsova-berths"], sites["kerguelen-relay"]
    (keyed,) = (row for row in berths["class"] if row["effect"] == "keyed")
    assert keyed["group"] in ("zone", "cell") and keyed["window_ms"] < 1000
    assert not any("ceiling" in plan for plan in berths["fam"]["plan"])
    assert len(relay["net"]["zones"]) >= 5 and relay["tier"][0]["weights"] == "nominal"
    assert max(row["deadline_ms"] for row in relay["class"]) <= 1500
    kiosks = sites["suvanto-kiosks"]["fam"]["plan"]
    assert all(row["burst_s"][1] <= 1.5 for row in kiosks), "its accounts' stores hold next to nothing"
    assert max(row["over_cost"] for row in kiosks) > 1
