"""Runs the command line as a module."""

from tamarackway_entry.command import main

main()
