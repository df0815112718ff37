"""Member record of this instance."""

from tamarackway_core.membership import Member
from tamarackway_core.places import Instance, Place

from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.plans import CurrentPlan
from tamarackway_entry.routes import LossService, RouteService
from tamarackway_entry.settings import InstanceSettings
from tamarackway_entry.targets import TargetDirectory


class LocalMember:
    """Builds the member record of this instance.

    :param settings: name, place and addresses of this instance.
    :param incarnation: incarnation of this process.
    :param lifecycle: state and request rate.
    :param current: the plan in force.
    :param routes: counts requests in flight.
    :param directory: lists leaving targets.
    :param losses: lists recent losses of targets.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        incarnation: str,
        lifecycle: Lifecycle,
        current: CurrentPlan,
        routes: RouteService,
        directory: TargetDirectory,
        losses: LossService,
    ) -> None:
        """Compute the fixed part of the record."""
        self._incarnation = incarnation
        self._lifecycle = lifecycle
        self._current = current
        self._routes = routes
        self._directory = directory
        self._losses = losses
        self._instance = Instance(
            settings.name,
            Place(settings.region, settings.failure_domain),
            settings.advertised_callers or settings.callers,
            settings.advertised_peers or settings.peers,
            settings.admin,
        )

    def describe(self) -> Member:
        """Return the current member record."""
        return Member(
            self._instance,
            self._incarnation,
            self._lifecycle.state,
            self._current.version,
            self._lifecycle.requests_per_s,
            self._routes.in_flight(),
            self._directory.leaving_incarnations,
            self._losses.list_recent(),
            self._current.history,
        )
