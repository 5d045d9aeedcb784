"""The operator file: its model, its checks, and what a change of it does."""
