"""Bounds of numbers that are decoded from outside this process."""

from tamarackway_core.numbers._parsers import parse_decimal as parse_decimal
from tamarackway_core.numbers._parsers import parse_integer as parse_integer
from tamarackway_core.numbers._types import MAX_DURATION_S as MAX_DURATION_S
from tamarackway_core.numbers._types import MAX_RATE_PER_S as MAX_RATE_PER_S
from tamarackway_core.numbers._types import MAX_SERIAL as MAX_SERIAL
from tamarackway_core.numbers._types import MIN_RATE_PER_S as MIN_RATE_PER_S
from tamarackway_core.numbers._types import Count as Count
from tamarackway_core.numbers._types import Duration as Duration
from tamarackway_core.numbers._types import Rate as Rate
from tamarackway_core.numbers._types import RateLimit as RateLimit
from tamarackway_core.numbers._types import Serial as Serial
