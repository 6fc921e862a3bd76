"""Clients of the platform's services, and decoders of its documents."""
