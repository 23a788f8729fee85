"""Orders, probes and requests towards backend servers."""
