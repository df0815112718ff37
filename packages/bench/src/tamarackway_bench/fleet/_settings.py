"""Settings files of entry instances."""

import hashlib
import json
from typing import Final

from tamarackway_bench.fleet._layout import EntryNode, Layout

TOKEN: Final = 'operator-token-of-the-demonstration'  # ruff: ignore[hardcoded-password-string]
PEER_KEY: Final = 'peer-key-of-the-demonstration-0123456789'


def render_settings(
    layout: Layout,
    entry: EntryNode,
    extra: str = '',
) -> str:
    """Return the TOML settings of an entry instance.

    :param layout: layout of the fleet.
    :param entry: the entry instance.
    :param extra: TOML sections to append.
    """
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    seeds = [
        other.peers.relay_address for other in layout.entries if other != entry
    ]
    distances = '\n'.join(
        f'{json.dumps(region, ensure_ascii=False)} = {layout.spec.region_ms}'
        for region in layout.spec.regions
        if region != entry.callers.region
    )
    platform = layout.platform
    return f"""
[instance]
name = "{entry.name}"
region = "{entry.callers.region}"
failure_domain = "{entry.callers.failure_domain}"
callers = "{entry.callers.address}"
peers = "{entry.peers.address}"
admin = "{entry.admin.address}"
advertised_callers = "{entry.callers.relay_address}"
advertised_peers = "{entry.peers.relay_address}"
outgoing_host = "{entry.callers.host}"

[platform]
table = "{platform['table'].relay_address}"
objects = "{platform['objects'].relay_address}"
instances = "{platform['instances'].relay_address}"

[peers]
keys = ["{PEER_KEY}"]
seeds = {json.dumps(seeds)}

[admin]
operators = [{{name = "planner", token_sha256 = "{digest}"}}]

[routing.distances_ms]
{distances}

[callers]
advice_lifetime_s = 2.0
{extra}
"""
