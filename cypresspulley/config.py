"""Reads the configuration file into typed records: addresses, limits, last known servers and settings."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from typing import Any

from cypresspulley import interface as api
from cypresspulley.memory import DEFAULT_LIMIT_MB
from cypresspulley.net.discovery import Listing, parse_listing
from cypresspulley.net.http import split_address
from cypresspulley.settings import (
    MAX_NUMBER,
    SocketSettings,
    check_positive_figures,
    parse_settings,
    parse_socket_settings,
)

DEFAULT_DESCRIPTORS = 1024


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Addresses for messages between limiters: our own, those to accept from, and one that reaches all."""

    listen: tuple[str, int]
    peers: tuple[str, ...]
    everyone: str


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one limiter process."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int  # descriptors that this process may hold
    memory_mb: int  # megabytes that this process may occupy
    known: Listing | None  # last known list of servers, used until discovery answers
    peers: PeerAddresses | None
    operator: tuple[str, int] | None  # address of the operators' interface; None: off
    settings: api.Settings
    timing: SocketSettings
    raw: dict[str, Any] = field(repr=False, compare=False, default_factory=dict)  # the parsed file


class ConfigError(Exception):
    """The configuration cannot be run."""


def parse_config(raw: Any) -> Config:
    """Return the configuration from its JSON object; raise ``ConfigError`` naming the invalid value."""
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError("the configuration is not an object with settings")
    try:
        check_positive_figures(raw["settings"])
        return Config(
            listen=_parse_address(raw, "listen"),
            discovery=_parse_address(raw, "discovery"),
            counter=_parse_address(raw, "counter") if raw.get("counter") else None,
            seed=int(str(raw.get("seed") or "0"), 16),
            sockets=_parse_limit(raw, "sockets", DEFAULT_DESCRIPTORS),
            memory_mb=_parse_limit(raw, "memory_mb", DEFAULT_LIMIT_MB),
            known=parse_listing(raw["known"]) if raw.get("known") else None,
            peers=_parse_peers(raw),
            operator=_parse_address(raw, "operator") if raw.get("operator") else None,
            settings=parse_settings(raw["settings"]),
            timing=parse_socket_settings(raw["settings"]),
            raw=raw,
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(str(error)) from None


def _parse_limit(raw: dict[str, Any], key: str, default: int) -> int:
    """Return one of the limits of this process, or the default if it is not given."""
    limits = raw.get("limits") or {}
    if not isinstance(limits, dict):
        raise ConfigError(f"limits: expected an object, got {limits!r:.40}")
    value = default if limits.get(key) is None else limits[key]
    is_number = isinstance(value, int | float) and not isinstance(value, bool) and 0 < value <= MAX_NUMBER
    if not is_number or value != int(value):
        raise ConfigError(f"limits.{key}: expected a whole number from 1 to {MAX_NUMBER}, got {value!r:.40}")
    return int(value)


def _parse_address(raw: dict[str, Any], key: str) -> tuple[str, int]:
    if raw.get(key) is None:
        raise ConfigError(f"{key} is missing")
    try:
        return split_address(str(raw[key]))
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _parse_peers(raw: dict[str, Any]) -> PeerAddresses | None:
    if not raw.get("peer_listen") or not raw.get("peers_all"):
        return None
    peers = raw.get("peers") or []
    if not isinstance(peers, list) or not all(isinstance(peer, str) for peer in peers):
        raise ConfigError("peers: expected a list of addresses")
    for address in (*peers, raw["peers_all"]):
        split_address(str(address))
    return PeerAddresses(split_address(str(raw["peer_listen"])), tuple(peers), str(raw["peers_all"]))


def load_config(path: str | None) -> Config:
    """Read the file; raise ``ConfigError`` if it cannot be read or is invalid.

    LB_OPERATOR gives the address of the operators' interface if the file has none.
    """
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    if isinstance(raw, dict) and (operator_address := os.environ.get("LB_OPERATOR")):
        raw.setdefault("operator", operator_address)
    return parse_config(raw)


def load_config_from_env() -> Config:
    """Return the configuration from the file that LB_CONFIG names; raise ``ConfigError``."""
    return load_config(os.environ.get("LB_CONFIG"))
