"""Types with bounds, which ``msgspec`` checks while it decodes.

Sums and products of numbers within these bounds are finite floats.
"""

from typing import Annotated, Final

import msgspec

MAX_DURATION_S: Final = 1e9
MIN_RATE_PER_S: Final = 0.001
MAX_RATE_PER_S: Final = 1e9
_MAX_COUNT: Final = 1_000_000
MAX_SERIAL: Final = 9_223_372_036_854_775_807  # of 64 bits with a sign

# Requests at a time.
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# Versions, sequence numbers, incarnations.
Serial = Annotated[int, msgspec.Meta(ge=0, le=MAX_SERIAL)]
# Seconds.
Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
# Requests per second, or a weight.
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]
# Requests per second; infinity for no limit.
RateLimit = Annotated[float, msgspec.Meta(ge=MIN_RATE_PER_S)]
