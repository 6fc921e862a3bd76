"""Control state: settings, host phases and waves, built from the control stream.

Every daemon applies the same records by the same rules, so daemons that have read to
the same offset have the same state.
"""
