"""Recovery from failures of services that tamarackway depends on."""

from tamarackway_core.recovery._backoff import Backoff as Backoff
from tamarackway_core.recovery._breaker import CircuitBreaker as CircuitBreaker
