"""Decides where a call goes, and when; no I/O."""
