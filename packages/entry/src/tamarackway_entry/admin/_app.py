"""HTTP interface for operators."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any, Final

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from tamarackway_core.errors import (
    ConflictError,
    SheetError,
    TamarackwayError,
)
from tamarackway_core.numbers import parse_integer
from tamarackway_core.sheet import parse_sheet
from tamarackway_core.wire import ExplainReply, ExplainRequest, Message

from tamarackway_entry.admin._auth import find_operator
from tamarackway_entry.admin._drain import add_leave_row
from tamarackway_entry.decisions import DecisionLog
from tamarackway_entry.peers import (
    MemberSource,
    PeerService,
    PeerUnreachableError,
)
from tamarackway_entry.plans import PlanInDoubtError, PlanService
from tamarackway_entry.settings import Settings
from tamarackway_entry.targets import TargetDirectory
from tamarackway_entry.telemetry import Metrics, component_logger

_MAX_SHEET_BYTES: Final = 4_194_304
_SHEET_TIMEOUT_S: Final = 30.0
_MAX_VERSION: Final = 1_000_000_000_000
_log = component_logger('admin')
_Endpoint = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """Components that the administration API uses.

    :param settings: settings of the daemon.
    :param plans: the plan in force.
    :param peers: the other entry instances.
    :param local_member: describes this instance.
    :param directory: the known targets.
    :param decisions: log of the decisions on recent requests.
    :param metrics: metrics of the daemon.
    """

    settings: Settings
    plans: PlanService
    peers: PeerService
    local_member: MemberSource
    directory: TargetDirectory
    decisions: DecisionLog
    metrics: Metrics


def build_admin_app(dependencies: AdminDependencies) -> Starlette:
    """Return the ASGI application for operators.

    :param dependencies: components that the API uses.

    All paths except those of probes and metrics require a bearer token.
    """
    api = _AdminApi(dependencies)
    dependencies.peers.register_handler(ExplainRequest, api.handle_explain)
    operator_endpoints = {
        '/v1/plan': (api.show_plan, 'GET'),
        '/v1/plan/history': (api.show_history, 'GET'),
        '/v1/status': (api.show_status, 'GET'),
        '/v1/explain/{request_id}': (api.explain, 'GET'),
        '/v1/targets/{target}/drain': (api.drain, 'POST'),
    }
    routes = [
        Route(path, api.require_operator(endpoint), methods=[method])
        for path, (endpoint, method) in operator_endpoints.items()
    ]
    submit = Route(
        '/v1/plan', api.require_operator(api.submit_plan), methods=['POST']
    )
    public_routes = [
        Route('/metrics', api.show_metrics),
        Route('/livez', api.show_liveness),
        Route('/readyz', api.show_readiness),
    ]
    return Starlette(routes=[*routes, submit, *public_routes])


class _AdminApi:
    """Endpoints of the administration API."""

    def __init__(self, dependencies: AdminDependencies) -> None:
        self._dependencies = dependencies

    def require_operator(self, endpoint: _Endpoint) -> _Endpoint:
        async def authenticated(request: Request) -> Response:
            operators = self._dependencies.settings.admin.operators
            name = find_operator(request, operators)
            if name is None:
                host = request.client.host if request.client else 'unknown'
                _log.warning(
                    'Rejected a request with a missing or wrong token from %s.',
                    host,
                )
                return _problem_response(
                    HTTPStatus.UNAUTHORIZED,
                    'unauthorized',
                    'the bearer token is missing or wrong',
                    'send the token of an operator listed in the settings',
                )
            request.state.operator = name
            try:
                return await endpoint(request)
            except TamarackwayError as error:
                return _error_response(error)

        return authenticated

    async def show_plan(self, _request: Request) -> Response:
        plan = self._dependencies.plans.current.plan
        if plan is None:
            return _problem_response(
                HTTPStatus.NOT_FOUND,
                'no-plan',
                'no plan is in force',
                'submit a sheet with tamarackctl plan submit',
            )
        return JSONResponse(asdict(plan))

    async def submit_plan(self, request: Request) -> Response:
        sheet = await _read_sheet(request)
        if isinstance(sheet, Response):
            return sheet
        base = request.query_params.get('base_version')
        version = parse_integer(base or '', maximum=_MAX_VERSION)
        if base is not None and version is None:
            return _problem_response(
                HTTPStatus.BAD_REQUEST,
                'malformed',
                'base_version is not a non-negative integer',
                'give the version that tamarackctl plan show prints',
            )
        return await self._submit(
            sheet,
            request.state.operator,
            version,
        )

    async def show_history(self, _request: Request) -> Response:
        return JSONResponse({
            'history': await self._dependencies.plans.history()
        })

    async def drain(self, request: Request) -> Response:
        plan = self._dependencies.plans.current.plan
        if plan is None:
            return await self.show_plan(request)
        target = request.path_params['target']
        names = {
            known.name for known in self._dependencies.directory.list_all()
        }
        if target not in names:
            return _problem_response(
                HTTPStatus.NOT_FOUND,
                'unknown-target',
                f'target {target!r} is not in the instance list',
                'use a name that tamarackctl status prints',
            )
        reason = request.query_params.get('reason', 'drained by an operator')
        sheet = add_leave_row(plan.sheet, target, reason)
        return await self._submit(
            sheet,
            request.state.operator,
            plan.version,
        )

    async def show_status(self, _request: Request) -> Response:
        members = [
            self._dependencies.local_member.describe(),
            *self._dependencies.peers.list_members(),
        ]
        targets = self._dependencies.directory.list_all()
        return JSONResponse({
            'entries': [
                {
                    'instance': member.instance.name,
                    'region': member.instance.place.region,
                    'failure_domain': member.instance.place.failure_domain,
                    'state': member.state,
                    'plan_version': member.plan_version,
                    'requests_per_s': round(member.requests_per_s, 1),
                }
                for member in members
            ],
            'targets': [
                {
                    'target': target.name,
                    'service': target.service,
                    'region': target.place.region,
                    'failure_domain': target.place.failure_domain,
                    'state': target.state,
                }
                for target in targets
            ],
        })

    async def explain(self, request: Request) -> Response:
        request_id = request.path_params['request_id']
        lines = self._explain_locally(request_id)
        if not lines:
            lines = await self._explain_remotely(request_id)
        if not lines:
            return _problem_response(
                HTTPStatus.NOT_FOUND,
                'unknown-request',
                f'no instance has a record of request {request_id!r}',
                'use the x-tamarackway-request-id of a recent answer',
            )
        return JSONResponse({'lines': lines})

    async def handle_explain(self, message: ExplainRequest) -> Message:
        return ExplainReply(self._explain_locally(message.request_id))

    async def show_metrics(self, _request: Request) -> Response:
        return PlainTextResponse(self._dependencies.metrics.render())

    async def show_liveness(self, _request: Request) -> Response:
        return JSONResponse({'status': 'live'})

    async def show_readiness(self, _request: Request) -> Response:
        if self._dependencies.plans.is_ready:
            return JSONResponse({'status': 'ready'})
        return _problem_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'not-ready',
            'no plan was learnt from the table or from a peer yet',
            'check that the table or a peer is reachable',
        )

    async def _submit(
        self,
        sheet: str,
        operator: str,
        base_version: int | None,
    ) -> Response:
        plan, peers_told = await self._dependencies.plans.submit(
            sheet,
            operator,
            base_version,
        )
        _log.info('%s submitted plan %d.', operator, plan.version)
        return JSONResponse({
            'version': plan.version,
            'digest': plan.digest,
            'peers_told': peers_told,
        })

    def _explain_locally(self, request_id: str) -> tuple[str, ...]:
        decision = self._dependencies.decisions.find(request_id)
        return decision.describe() if decision else ()

    async def _explain_remotely(self, request_id: str) -> tuple[str, ...]:
        message = ExplainRequest(request_id)
        for member in self._dependencies.peers.list_live():
            name = member.instance.name
            if not request_id.startswith(name):
                continue
            try:
                reply = await self._dependencies.peers.request(name, message)
            except PeerUnreachableError:
                continue
            if isinstance(reply, ExplainReply) and reply.lines:
                return reply.lines
        return ()


async def _read_sheet(request: Request) -> str | Response:
    body = bytearray()
    with anyio.move_on_after(_SHEET_TIMEOUT_S) as scope:
        async for part in request.stream():
            body += part
            if len(body) > _MAX_SHEET_BYTES:
                return _problem_response(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    'sheet-too-large',
                    f'the sheet is larger than {_MAX_SHEET_BYTES} bytes',
                    'split it or remove rows',
                )
    if scope.cancelled_caught:
        return _problem_response(
            HTTPStatus.REQUEST_TIMEOUT,
            'sheet-timeout',
            f'the sheet did not arrive within {_SHEET_TIMEOUT_S:.0f} s',
            'send it again',
        )
    try:
        sheet = body.decode()
    except UnicodeDecodeError as error:
        return _problem_response(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'sheet-encoding',
            f'the sheet is not UTF-8: {error}',
            'export it as UTF-8',
        )
    parse_sheet(sheet)
    return sheet


def _error_response(error: TamarackwayError) -> Response:
    if isinstance(error, SheetError):
        document: dict[str, Any] = {
            'error': 'sheet-faults',
            'detail': error.problem,
            'remedy': error.remedy,
            'faults': [asdict(fault) for fault in error.faults],
        }
        return JSONResponse(
            document, status_code=HTTPStatus.UNPROCESSABLE_ENTITY
        )
    if isinstance(error, ConflictError):
        document = {
            'error': 'conflict',
            'detail': error.problem,
            'remedy': error.remedy,
            'rows': error.rows,
        }
        return JSONResponse(document, status_code=HTTPStatus.CONFLICT)
    kind = 'unavailable'
    if isinstance(error, PlanInDoubtError):
        kind = 'in-doubt'
    return _problem_response(
        HTTPStatus.SERVICE_UNAVAILABLE, kind, error.problem, error.remedy
    )


def _problem_response(
    status: int,
    kind: str,
    detail: str,
    remedy: str,
) -> JSONResponse:
    document = {'error': kind, 'detail': detail, 'remedy': remedy}
    return JSONResponse(document, status_code=status)
