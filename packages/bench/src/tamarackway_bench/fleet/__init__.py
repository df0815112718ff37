"""Runs fake platform services, targets and entry instances as processes."""

from tamarackway_bench.fleet._caller import Caller as Caller
from tamarackway_bench.fleet._caller import Response as Response
from tamarackway_bench.fleet._fleet import Fleet as Fleet
from tamarackway_bench.fleet._fleet import FleetError as FleetError
from tamarackway_bench.fleet._http import fetch as fetch
from tamarackway_bench.fleet._spec import LEITURA as LEITURA
from tamarackway_bench.fleet._spec import SKALNI as SKALNI
from tamarackway_bench.fleet._spec import FleetSpec as FleetSpec
from tamarackway_bench.fleet._spec import ServiceSpec as ServiceSpec
