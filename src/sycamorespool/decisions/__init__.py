"""Holds the fleet's pure decisions: no I/O, no clock, no global random."""
