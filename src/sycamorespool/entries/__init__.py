"""The protocol between entries."""
