"""Clients of the platform's services, and decoders of its documents.

``client`` and ``follower`` serve daemons started with ``basilwind serve``, the other
modules those started with ``basilwind entry``.
"""
