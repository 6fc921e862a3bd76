"""The zone journal: what must outlive an entry host, kept on the log."""
