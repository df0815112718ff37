"""Stand-ins for the platform, for targets and for the links between places.

Each runs as its own process on loopback and takes faults over HTTP while it
runs. Nothing here is part of the product.
"""
