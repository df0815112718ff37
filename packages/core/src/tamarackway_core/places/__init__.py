"""Entry instances, targets and their locations."""

from tamarackway_core.places._distance import sort_regions as sort_regions
from tamarackway_core.places._model import Address as Address
from tamarackway_core.places._model import Instance as Instance
from tamarackway_core.places._model import Inventory as Inventory
from tamarackway_core.places._model import Place as Place
from tamarackway_core.places._model import State as State
from tamarackway_core.places._model import Target as Target
from tamarackway_core.places._model import parse_address as parse_address
