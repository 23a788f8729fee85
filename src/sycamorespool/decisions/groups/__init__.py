"""Decides which VMs form groups of which models; no I/O."""
