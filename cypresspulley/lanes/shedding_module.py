"""The decisions as the node sees them, with lanes before them: what a lane turns away never reaches those behind."""

from __future__ import annotations

from cypresspulley import interface as api
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.lanes.active_policy import Course
from cypresspulley.lanes.meter import Meter
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.quota_estimate import Stores
from cypresspulley.lanes.rotation import passes
from cypresspulley.net.node import DecisionModule

LEAST_WAIT = 0.1  # seconds of Retry-After


class Way:
    """Either a try goes on unchanged, or it is turned away at once; every other event goes on."""

    def __init__(
        self, options: LanesOptions, settings: api.Settings, stores: Stores, meter: Meter, course: Course,
        history: AnyHistory,
    ) -> None:  # fmt: skip
        self.decide: DecisionModule | None = None
        self._names, self._most_wait = [lane.name for lane in options.lanes], settings.max_retry_after
        self._stores, self._meter, self._course, self._history = stores, meter, course, history
        self._lane_of = {plan: n for n, lane in enumerate(options.lanes) for plan in lane.plans}

    def __repr__(self) -> str:
        return f"<Way {self._course!r} before {self.decide!r}>"

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        assert self.decide is not None
        if isinstance(event, api.Request):
            if (refusal := self._judge(now, event)) is not None:
                return [refusal]
        elif isinstance(event, api.ClientDisconnected):
            self._meter.departed(event.id)
        elif isinstance(event, api.SettingsChanged):
            self._most_wait = event.settings.max_retry_after
            self._stores.retune(event.settings)
        actions = self.decide.handle(now, event)
        self._meter.acted(actions)
        return actions

    def _judge(self, now: float, ev: api.Request) -> api.Refuse | None:
        """The refusal of a try that gives way; None lets it pass."""
        lane = self._lane_of.get(ev.plan, len(self._names) - 1)
        inside = self._stores.inside(now, ev)
        counts = inside and not ev.repeat and self._stores.counts(now, ev)
        self._meter.asked(lane, ev, inside, counts)
        if self._course.in_force:
            spell = self._course.spell
            threshold = (spell.inside if inside else spell.beyond)[lane]
            if not passes(ev.account, spell.turn, threshold):
                return self._turned(now, ev, lane, inside)
            if inside and self._course.first_let(ev.account):
                self._history.put(
                    Kind.LANES_LET, account=ev.account, lane=self._names[lane], spell=spell.name
                )
        self._meter.passed(lane, ev, inside)
        return None

    def _turned(self, now: float, ev: api.Request, lane: int, inside: bool) -> api.Refuse:
        """It gives way until the spell ends; beyond its quota until its store has room, where that is sooner."""
        spell, left = self._course.spell, self._course.left(now)
        if inside:
            self._stores.turned(now, ev)
        else:
            left = min(left, self._stores.short(now, ev))
        self._history.put(
            Kind.LANES_TURNED, id=ev.id, account=ev.account, lane=self._names[lane], inside=inside,
            spell=spell.name, until=spell.until / 1000,
        )  # fmt: skip
        return api.Refuse(ev.id, min(self._most_wait, max(LEAST_WAIT, left)), "lane")
