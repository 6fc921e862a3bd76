"""Development tools outside the package: process launcher, demo, soak test."""
