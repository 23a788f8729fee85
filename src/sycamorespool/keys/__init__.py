"""Runs calls with idempotency keys at most once; used by ``entry`` only."""
