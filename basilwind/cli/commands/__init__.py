"""What each command does."""
