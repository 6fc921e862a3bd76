"""Clients of the platform's services, and decoders of its documents.

``client`` and ``follower`` are used by daemons started with ``basilwind serve`` and by
the commands, the other modules by daemons started with ``basilwind entry``.
"""
