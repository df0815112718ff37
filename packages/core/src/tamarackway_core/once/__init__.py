"""Requests that may run at most once: keys, claims and outcomes."""

from tamarackway_core.once._decide import Blocked as Blocked
from tamarackway_core.once._decide import ClaimStep as ClaimStep
from tamarackway_core.once._decide import Join as Join
from tamarackway_core.once._decide import Reclaim as Reclaim
from tamarackway_core.once._decide import Replay as Replay
from tamarackway_core.once._decide import decide_on_row as decide_on_row
from tamarackway_core.once._keys import KEY_LIFETIME_S as KEY_LIFETIME_S
from tamarackway_core.once._keys import claim_day as claim_day
from tamarackway_core.once._keys import claim_row_key as claim_row_key
from tamarackway_core.once._keys import digest_request as digest_request
from tamarackway_core.once._keys import parse_key as parse_key
from tamarackway_core.once._ledger import Attempt as Attempt
from tamarackway_core.once._ledger import AttemptState as AttemptState
from tamarackway_core.once._ledger import ClaimLedger as ClaimLedger
from tamarackway_core.once._ledger import lost_claimant as lost_claimant
from tamarackway_core.once._model import Answer as Answer
from tamarackway_core.once._model import ClaimRow as ClaimRow
from tamarackway_core.once._model import ClaimState as ClaimState
from tamarackway_core.once._model import Outcome as Outcome
from tamarackway_core.once._model import RunResult as RunResult
