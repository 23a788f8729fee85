"""Reads, probes and calls other entries; used by ``hosted`` only."""
