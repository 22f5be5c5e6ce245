"""Load shedding before the decision module: requests that a lane sheds never reach the module behind."""

from __future__ import annotations

from cypresspulley import interface as api
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import AnyHistory
from cypresspulley.lanes.active_policy import ActivePolicy
from cypresspulley.lanes.meter import Meter
from cypresspulley.lanes.options import LanesOptions
from cypresspulley.lanes.quota_estimate import QuotaEstimator
from cypresspulley.lanes.rotation import is_admitted
from cypresspulley.net.node import DecisionModule

MIN_RETRY_AFTER = 0.1  # seconds


class SheddingModule:
    """Passes each request on unchanged or refuses it at once, and passes every other event on."""

    def __init__(
        self, options: LanesOptions, settings: api.Settings, estimator: QuotaEstimator, meter: Meter,
        active: ActivePolicy, history: AnyHistory,
    ) -> None:  # fmt: skip
        self.decide: DecisionModule | None = None
        self._names, self._max_retry_after = [lane.name for lane in options.lanes], settings.max_retry_after
        self._estimator, self._meter, self._active, self._history = estimator, meter, active, history
        self._lane_of = {plan: n for n, lane in enumerate(options.lanes) for plan in lane.plans}

    def __repr__(self) -> str:
        return f"<SheddingModule {self._active!r} before {self.decide!r}>"

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        assert self.decide is not None
        if isinstance(event, api.Request):
            if (refusal := self._judge(now, event)) is not None:
                return [refusal]
        elif isinstance(event, api.ClientDisconnected):
            self._meter.forget_request(event.id)
        elif isinstance(event, api.SettingsChanged):
            self._max_retry_after = event.settings.max_retry_after
            self._estimator.update_settings(event.settings)
        actions = self.decide.handle(now, event)
        self._meter.count_actions(actions)
        return actions

    def _judge(self, now: float, event: api.Request) -> api.Refuse | None:
        """Return the refusal of a request that is shed, or None to admit it."""
        lane = self._lane_of.get(event.plan, len(self._names) - 1)
        within_quota = self._estimator.is_within_quota(now, event)
        is_demand = within_quota and not event.repeat and self._estimator.draw_even_share(now, event)
        self._meter.count_request(lane, event, within_quota, is_demand)
        if self._active.in_force:
            policy = self._active.policy
            threshold = (policy.within_quota if within_quota else policy.over_quota)[lane]
            if not is_admitted(event.account, policy.rotation, threshold):
                return self._shed(now, event, lane, within_quota)
            if within_quota and self._active.record_admitted(event.account):
                self._history.put(
                    Kind.LANES_LET, account=event.account, lane=self._names[lane], spell=policy.history_id
                )
        self._meter.count_admitted(lane, event, within_quota)
        return None

    def _shed(self, now: float, event: api.Request, lane: int, within_quota: bool) -> api.Refuse:
        """Refuse the request until the rotation period ends.

        A request over quota is refused only until its token bucket has room, where that is sooner.
        """
        policy, left = self._active.policy, self._active.seconds_left(now)
        if within_quota:
            self._estimator.charge_shed(now, event)
        else:
            left = min(left, self._estimator.seconds_until_available(now, event))
        self._history.put(
            Kind.LANES_TURNED, id=event.id, account=event.account, lane=self._names[lane], inside=within_quota,
            spell=policy.history_id, until=policy.ends_at_ms / 1000,
        )  # fmt: skip
        return api.Refuse(event.id, min(self._max_retry_after, max(MIN_RETRY_AFTER, left)), "lane")
