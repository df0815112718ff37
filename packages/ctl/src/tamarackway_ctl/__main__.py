"""Runs the command line as a module."""

from tamarackway_ctl.command import main

main()
