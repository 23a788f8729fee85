"""Pure decisions of the fleet: no I/O, no clock, no global random."""
