"""Orders, probes and requests to backend servers."""
