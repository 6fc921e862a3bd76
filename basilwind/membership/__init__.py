"""Which entry hosts are live, and which of them owns a shard."""
