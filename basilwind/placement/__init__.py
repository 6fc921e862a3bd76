"""Places requests and jobs on workers."""
