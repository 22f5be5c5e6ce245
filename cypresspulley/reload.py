"""Reloads the configuration at SIGHUP: the file is read and checked as a whole before it is applied."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import replace

from cypresspulley import interface as api
from cypresspulley.config import Config, ConfigError
from cypresspulley.net.discovery import DiscoveryClient
from cypresspulley.settings import SocketSettings, check_no_missing_keys

log = logging.getLogger("cypresspulley")

# A file that is rejected after SIGHUP is read again a few times, because it may be only half written.
MAX_READS = 8
READ_INTERVAL_SECONDS = 0.25

# Keys that a reloaded file must still have; the counter only if the settings have one.
REQUIRED_KEYS = ("listen", "discovery", "counter", "limits", "settings")


class ConfigReloader:
    """Reads the file again, moves discovery and the counter to its addresses, and applies its settings.

    The whole file is checked before anything changes. A broken file changes nothing; it is logged, and only again when
    the error differs from the previous one.
    """

    def __init__(
        self, config: Config, discovery_client: DiscoveryClient, read_config: Callable[[], Config],
        retune: Callable[[api.Settings, SocketSettings], None],
        apply_addresses: Callable[[Config], None] = lambda _new: None,
    ) -> None:  # fmt: skip
        """``apply_addresses`` receives each accepted file, for the counter and the other limiters."""
        self._config = config
        self._discovery_client = discovery_client
        self._read_config = read_config
        self._retune = retune
        self._apply_addresses = apply_addresses
        self._last_error = ""  # of the latest reading; empty if the file was accepted

    def __call__(self) -> bool:
        """Read the file again; return True if it was accepted."""
        old = self._config
        try:
            new = self._read_config()
            required = (key for key in REQUIRED_KEYS if key != "counter" or new.settings.has_counter)
            if missing := [key for key in required if old.raw.get(key) and not new.raw.get(key)]:
                raise ConfigError(f"{missing[0]} is missing")
            check_no_missing_keys(new.raw.get("settings") or {}, old.raw.get("settings") or {})
        except (ConfigError, ValueError) as error:
            # A half-written or wrong file must not end a limiter in service.
            if (message := str(error)) != self._last_error:
                log.error("the configuration was not reloaded: %s: %s", os.environ.get("LB_CONFIG"), error)
            self._last_error = message
            return False
        self._last_error = ""
        self._discovery_client.follow(*new.discovery)
        changed = new.settings != old.settings or new.timing != old.timing
        if changed:
            self._retune(new.settings, new.timing)
        self._apply_addresses(new)
        served = replace(
            old, discovery=new.discovery, counter=new.counter, known=new.known, settings=new.settings,
            timing=new.timing, peers=new.peers,
        )  # fmt: skip
        self._config = replace(served, raw=new.raw)
        needs_restart = new != served or (new.counter is None and new.settings.has_counter)
        rest = "; some of the file needs a restart" if needs_restart else ""
        log.info("the configuration was reloaded%s%s", ", other settings hold" if changed else "", rest)
        return True


class SighupHandler:
    """Handles SIGHUP at any time in the life of the process.

    A signal that arrives before ``ready`` is handled by it. A file that is rejected is read up to
    ``MAX_READS`` times in all; a later signal starts over. After ``close``, signals have no effect.
    """

    def __init__(self) -> None:
        self._reload: Callable[[], bool] | None = None
        self._on_signal: Callable[[], None] | None = None
        self._pending = False
        self._timer: asyncio.TimerHandle | None = None

    def __call__(self) -> None:
        self._pending = True
        if self._on_signal is not None:
            self._on_signal()
        self._try_reload(MAX_READS)

    def ready(self, reload: Callable[[], bool], on_signal: Callable[[], None] | None) -> None:
        """Handle signals from now on, those received before included; ``on_signal`` is called once for each one."""
        self._reload, self._on_signal = reload, on_signal
        if self._pending:
            self()

    def close(self) -> None:
        self._reload = self._on_signal = None
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _try_reload(self, remaining_reads: int) -> None:
        self._cancel_timer()
        if self._reload is None or not self._pending:
            return
        self._pending = not self._reload() and remaining_reads > 1
        if self._pending:
            self._timer = asyncio.get_running_loop().call_later(
                READ_INTERVAL_SECONDS, self._try_reload, remaining_reads - 1
            )
