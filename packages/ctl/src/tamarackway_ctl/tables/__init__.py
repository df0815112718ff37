"""Table output for the terminal."""

from tamarackway_ctl.tables._tables import print_table as print_table
