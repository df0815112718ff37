"""Retry delays and circuit breaking for external services."""

from tamarackway_core.recovery._backoff import Backoff as Backoff
from tamarackway_core.recovery._breaker import CircuitBreaker as CircuitBreaker
