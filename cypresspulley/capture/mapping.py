"""Extracts account, class and plan from captured requests by the rules of a TOML mapping file.

The default rules match the platform's own headers, query parameters and log fields.
"""

from __future__ import annotations

import re
import tomllib
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from cypresspulley.capture.model import CaptureError, Entry, RawRequest, bare_path, printable

SOURCE_PATTERN = re.compile(r"(query|header|field|path):([A-Za-z0-9_.\-]{1,60})")
MAX_REASONS = 200
QUOTA_UNITS = re.compile(r"(?:^|,)units=([0-9.]{1,12})")


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Rule(_StrictModel):
    """Lists the sources of a value, such as ``query:account`` or ``path:1``; the first valid value is used."""

    sources: tuple[str, ...] = Field((), alias="from")
    pattern: str = ""
    known: tuple[str, ...] = Field((), description="the only values there are; empty: any")
    default: str = ""
    names: dict[str, str] = Field(default_factory=dict, description="what a value is called here")

    @field_validator("sources")
    @classmethod
    def _check_sources(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for source in value:
            if not SOURCE_PATTERN.fullmatch(source):
                raise ValueError(f"{source!r}: expected query:NAME, header:NAME, field:NAME or path:NUMBER")
        return value

    @field_validator("pattern")
    @classmethod
    def _check_pattern(cls, value: str) -> str:
        try:
            re.compile(value)
        except re.error as error:
            raise ValueError(f"no regular expression: {error}") from None
        return value


class Mapping(_StrictModel):
    """The extraction rules for the values of the request model."""

    account: Rule = Rule.model_validate(
        {"from": ["query:account", "header:x-account", "field:account"], "pattern": "[0-9A-Za-z_.-]{1,64}"}
    )
    cls: Rule = Field(
        Rule.model_validate(
            {"from": ["header:x-priority-class", "field:class", "path:1"],
             "known": ["bag-lookup", "handover-post"]}
        ),
        alias="class",
    )  # fmt: skip
    plan: Rule = Rule.model_validate({"from": ["header:x-plan", "field:plan"]})
    id: Rule = Rule.model_validate({"from": ["header:x-request-id", "field:id", "field:request_id"]})
    retry: Rule = Rule.model_validate({"from": ["header:x-retried", "field:retried"]})
    ignore: tuple[str, ...] = Field(("^/healthz$", "^/load$"), description="paths that are no load")


def load_mapping(path: str | None) -> Mapping:
    """Load a mapping file; raises ``CaptureError`` naming the file, the key and the expected value."""
    if path is None:
        return Mapping()
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return Mapping.model_validate(raw)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise CaptureError(f"{path}: not readable as TOML: {error}") from None
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(map(str, first["loc"]))
        raise CaptureError(f"{path}: {where}: {first['msg'].removeprefix('Value error, ')}") from None


class Mapper:
    """Maps captured requests to entries and counts the requests that cannot be mapped, by reason."""

    def __init__(self, mapping: Mapping) -> None:
        self._mapping = mapping
        self._ignored_paths = [re.compile(text) for text in mapping.ignore]
        self._patterns = {id(rule): re.compile(rule.pattern) for rule in self._rules() if rule.pattern}
        self.unmapped = Counter[str]()
        self.ignored = 0

    def _rules(self) -> tuple[Rule, ...]:
        m = self._mapping
        return m.account, m.cls, m.plan, m.id, m.retry

    def map_request(self, raw: RawRequest, source: str) -> Entry | None:
        """Return the entry of a request, or None after counting the request as ignored or unmapped."""
        path = bare_path(raw.target)
        if any(pattern.search(path) for pattern in self._ignored_paths):
            self.ignored += 1
            return None
        query = parse_qs(raw.target.partition("?")[2], max_num_fields=100) if "?" in raw.target else {}
        path_segments = path.split("/")
        values = dict[str, str]()
        for key, rule in (("class", self._mapping.cls), ("account", self._mapping.account),
                          ("plan", self._mapping.plan)):  # fmt: skip
            value = self._find_value(rule, raw, query, path_segments)
            if not value:
                self._count_unmapped(f"no {key}: {raw.method:.10} {path}")
                return None
            values[key] = value
        retry_mark = self._find_value(self._mapping.retry, raw, query, path_segments)
        units = QUOTA_UNITS.search(raw.fields.get("x-quota", "")) or [None, raw.fields.get("units") or "1"]
        return Entry(
            raw.t, values["account"], values["class"], values["plan"], raw.method, path,
            self._find_value(self._mapping.id, raw, query, path_segments).lower(), raw.status, raw.bytes_sent,
            raw.latency, source, raw.location, _parse_units(units[1]), retry_mark == "1" if retry_mark else None,
        )  # fmt: skip

    def _count_unmapped(self, reason: str) -> None:
        reason = printable(reason)
        if reason not in self.unmapped and len(self.unmapped) >= MAX_REASONS:
            reason = "other reasons"
        self.unmapped[reason] += 1

    def _find_value(
        self, rule: Rule, raw: RawRequest, query: dict[str, list[str]], path_segments: list[str]
    ) -> str:
        for source in rule.sources:
            kind, _, name = source.partition(":")
            if kind == "query":
                value = (query.get(name) or [""])[0]
            elif kind == "path":
                value = path_segments[int(name)] if name.isdigit() and int(name) < len(path_segments) else ""
            else:
                value = raw.fields.get(name.lower(), "")
            value = rule.names.get(value, value)
            pattern = self._patterns.get(id(rule))
            if (
                value
                and (pattern is None or pattern.fullmatch(value))
                and (not rule.known or value in rule.known)
            ):
                return value[:200]
        return rule.default


def _parse_units(text: str | None) -> float:
    try:
        units = float(text or "1")
    except ValueError:
        return 1.0
    return units if 0 < units <= 1e6 else 1.0
