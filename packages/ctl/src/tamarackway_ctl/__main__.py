"""Entry point of ``python -m tamarackway_ctl``."""

from tamarackway_ctl.command import main

main()
