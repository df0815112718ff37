"""At-most-once execution: idempotency keys, claims and outcomes."""

from tamarackway_core.once._attempts import (
    AdmissionDecision as AdmissionDecision,
)
from tamarackway_core.once._attempts import Attempt as Attempt
from tamarackway_core.once._attempts import AttemptRegistry as AttemptRegistry
from tamarackway_core.once._attempts import AttemptState as AttemptState
from tamarackway_core.once._attempts import ReturnResult as ReturnResult
from tamarackway_core.once._attempts import StartAttempt as StartAttempt
from tamarackway_core.once._attempts import WaitForAttempt as WaitForAttempt
from tamarackway_core.once._attempts import (
    claimant_lost_result as claimant_lost_result,
)
from tamarackway_core.once._keys import KEY_LIFETIME_S as KEY_LIFETIME_S
from tamarackway_core.once._keys import claim_day as claim_day
from tamarackway_core.once._keys import claim_row_key as claim_row_key
from tamarackway_core.once._keys import digest_request as digest_request
from tamarackway_core.once._keys import may_precede as may_precede
from tamarackway_core.once._keys import parse_key as parse_key
from tamarackway_core.once._model import ClaimRow as ClaimRow
from tamarackway_core.once._model import ClaimState as ClaimState
from tamarackway_core.once._model import Outcome as Outcome
from tamarackway_core.once._model import Response as Response
from tamarackway_core.once._model import RunResult as RunResult
from tamarackway_core.once._protocol import ClaimProtocol as ClaimProtocol
from tamarackway_core.once._protocol import Command as Command
from tamarackway_core.once._protocol import Dispatch as Dispatch
from tamarackway_core.once._protocol import FetchResponse as FetchResponse
from tamarackway_core.once._protocol import Finish as Finish
from tamarackway_core.once._protocol import QueryClaimant as QueryClaimant
from tamarackway_core.once._protocol import ReadRow as ReadRow
from tamarackway_core.once._protocol import WriteRow as WriteRow
