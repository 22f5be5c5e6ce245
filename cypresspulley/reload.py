"""SIGHUP: the configuration is read again, checked as a whole, and holds from then on."""

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

# After SIGHUP a file that cannot be taken is looked at again, so many times and seconds apart: it may be half written.
LOOKS = 8
LOOK_AGAIN = 0.25

# Of the file: none may go missing in service, but the counter where the settings have none.
KEPT_KEYS = ("listen", "discovery", "counter", "limits", "settings")


class ConfigReloader:
    """SIGHUP: the file is read again; discovery and the counter are followed to where it says, and its settings hold.

    All of the file is checked before anything changes: a broken one changes nothing but the log, which has one line
    for each way in which it is broken.
    """

    def __init__(
        self, config: Config, follower: DiscoveryClient, reread: Callable[[], Config],
        retune: Callable[[api.Settings, SocketSettings], None], rewire: Callable[[Config], None] = lambda _new: None,
    ) -> None:  # fmt: skip
        """``rewire`` gets each file that was taken, for the counter and the other limiters."""
        self._config = config
        self._follower = follower
        self._reread = reread
        self._retune = retune
        self._rewire = rewire
        self._said = ""  # what is wrong with the file

    def __call__(self) -> bool:
        """Whether the file was taken."""
        old = self._config
        try:
            new = self._reread()
            kept = (key for key in KEPT_KEYS if key != "counter" or new.settings.has_counter)
            if missing := [key for key in kept if old.raw.get(key) and not new.raw.get(key)]:
                raise ConfigError(f"{missing[0]} is missing")
            check_no_missing_keys(new.raw.get("settings") or {}, old.raw.get("settings") or {})
        except (ConfigError, ValueError) as error:
            # A half-written or wrong file must not end a limiter that serves.
            if (said := str(error)) != self._said:
                log.error("the configuration was not reloaded: %s: %s", os.environ.get("LB_CONFIG"), error)
            self._said = said
            return False
        self._said = ""
        self._follower.follow(*new.discovery)
        changed = new.settings != old.settings or new.timing != old.timing
        if changed:
            self._retune(new.settings, new.timing)
        self._rewire(new)
        served = replace(
            old, discovery=new.discovery, counter=new.counter, known=new.known, settings=new.settings,
            timing=new.timing, peers=new.peers,
        )  # fmt: skip
        self._config = replace(served, raw=new.raw)
        late = new != served or (new.counter is None and new.settings.has_counter)
        rest = "; some of the file needs a restart" if late else ""
        log.info("the configuration was reloaded%s%s", ", other settings hold" if changed else "", rest)
        return True


class SighupHandler:
    """SIGHUP at any time: one that comes before ``reload`` is there waits for it, and one that meets half a file looks
    again. The latest counts; after ``close`` none does."""

    def __init__(self) -> None:
        self._reload: Callable[[], bool] | None = None
        self._beside: Callable[[], None] | None = None
        self._waiting = False
        self._timer: asyncio.TimerHandle | None = None

    def __call__(self) -> None:
        self._waiting = True
        if self._beside is not None:
            self._beside()
        self._look(LOOKS)

    def ready(self, reload: Callable[[], bool], beside: Callable[[], None] | None) -> None:
        """From now on the file can be taken; ``beside`` is called once for each signal."""
        self._reload, self._beside = reload, beside
        if self._waiting:
            self()

    def close(self) -> None:
        self._reload = self._beside = None
        self._stop()

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look(self, looks: int) -> None:
        self._stop()
        if self._reload is None or not self._waiting:
            return
        self._waiting = not self._reload() and looks > 1
        if self._waiting:
            self._timer = asyncio.get_running_loop().call_later(LOOK_AGAIN, self._look, looks - 1)
