"""Sends orders, probes and requests to backend servers."""
