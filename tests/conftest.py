"""Settings that hold for every test."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-verdict")
