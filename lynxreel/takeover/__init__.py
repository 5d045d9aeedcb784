"""Takeover of in-flight requests: another instance keeps replicas and resumes them if their gateway fails."""
