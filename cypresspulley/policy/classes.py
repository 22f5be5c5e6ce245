"""The request classes and plans that are in force while settings change at run time."""

from dataclasses import replace

from cypresspulley import interface as api
from cypresspulley.interface import Effect

CLIENT_UPDATE_SECONDS = 1.5  # time until all clients use new settings
REPLACED_RECORD_SECONDS = 6.0  # time for which a replaced class or a dropped plan stays in force


class PlanRegistry:
    """Plans by name. A plan that new settings drop stays known while requests that name it may still arrive."""

    def __init__(self, settings: api.Settings) -> None:
        self.current = {plan.name: plan for plan in settings.plans}
        self._dropped = dict[str, tuple[api.Plan, float]]()  # plan, and until when it is known

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Apply new settings."""
        new = {plan.name: plan for plan in settings.plans}
        kept = {name: old for name, old in self._dropped.items() if now < old[1]}
        kept |= {name: (plan, now + REPLACED_RECORD_SECONDS) for name, plan in self.current.items()}
        self.current, self._dropped = new, {name: old for name, old in kept.items() if name not in new}

    def find(self, now: float, name: str) -> api.Plan | None:
        """Return the plan of a name, in force or dropped a short time ago; None where there is none."""
        if (plan := self.current.get(name)) is not None:
            return plan
        dropped, until = self._dropped.get(name, (None, 0.0))
        return dropped if now < until else None


class ClassRegistry:
    """Class records by name.

    Clients learn of new settings shortly after this limiter. The form of a request, its method and its key, follows
    from the effect of its class, so it shows which record the client uses. An admitted request keeps its record and its
    number of attempts until its final answer.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._current = {c.name: c for c in settings.classes}
        # Replaced or dropped records by name and effect, and until when they are in force. There may be several of a
        # name, since settings may change several times in a row.
        self._replaced = dict[str, dict[Effect, tuple[api.RequestClass, float]]]()
        self._max_attempts = self._transition_max_attempts = settings.max_attempts
        self._changed_at = float("-inf")

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Apply new settings. Replaced and dropped records stay in force for clients that do not know of it yet."""
        new = {c.name: c for c in settings.classes}
        self._drop_expired(now)
        for name, c in self._current.items():
            if name not in new or new[name].effect is not c.effect:
                self._replaced.setdefault(name, {})[c.effect] = c, now + REPLACED_RECORD_SECONDS
        self._current, self._changed_at = new, now
        self._transition_max_attempts, self._max_attempts = (
            min(self._max_attempts, settings.max_attempts),
            settings.max_attempts,
        )

    def _drop_expired(self, now: float) -> None:
        for name, by_effect in list(self._replaced.items()):
            self._replaced[name] = {effect: old for effect, old in by_effect.items() if now < old[1]}
            if not self._replaced[name]:
                del self._replaced[name]

    def _replaced_records(self, now: float, name: str) -> list[api.RequestClass]:
        """Return the replaced records of a name that are still in force, the latest first."""
        records = sorted(self._replaced.get(name, {}).values(), key=lambda old: -old[1])
        return [record for record, until in records if now < until]

    def is_known(self, now: float, name: str) -> bool:
        """Return whether a class is in force or was dropped a short time ago."""
        return name in self._current or bool(self._replaced_records(now, name))

    def find(self, now: float, name: str, effect: Effect | None = None) -> api.RequestClass | None:
        """Return the record for a request of a name and effect; None where there is none.

        Without an effect, return the newest record of the name.
        """
        record = self._current.get(name)
        if record is not None and (effect is None or record.effect is effect):
            return record
        replaced = self._replaced_records(now, name)
        return next((old for old in replaced if effect is None or old.effect is effect), None)

    def find_restricted(self, now: float, name: str) -> api.RequestClass | None:
        """Return the newest record of a name as that of a request which may be sent once; None where there is none.

        It binds a request whose form fits no record in force: nothing proves that a repeat of it would be dropped.
        """
        newest = self.find(now, name)
        return None if newest is None else replace(newest, effect=Effect.UNSAFE)

    def max_attempts(self, now: float) -> int:
        """Return the attempts that a new request may have; during a change of settings the fewer of both."""
        return (
            self._max_attempts
            if now - self._changed_at > CLIENT_UPDATE_SECONDS
            else self._transition_max_attempts
        )
