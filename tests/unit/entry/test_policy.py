"""Guards against a roll-out that takes longer than 28 s at the target scale."""

from pistachionotch.config.revisions import Revisions
from pistachionotch.entry.policy import PolicyView
from pistachionotch.weights.rollout import AgentRolloutState, estimate_rollout
from tests.support.deployment import ROOT

ZONE = [AgentRolloutState(f"agent-{number}", "cebu", 1) for number in range(123)]


def test_default_rate_rolls_out_a_zone_at_target_scale_in_time():
    limits = PolicyView(Revisions()).rollout_limits("unknown")
    assert estimate_rollout(ZONE, 2, limits, [5_000]).total_ms <= 27_000


def test_configured_rate_applies_to_each_zone():
    """The questionnaire asks for the rate per zone; dividing it by the zones would be too low."""
    text = (ROOT / "examples/bituin/configuration.jsonc").read_text()
    revisions = Revisions()
    revisions.offer(1, text.replace('_loads_per_s": 1', '_loads_per_s": 7').encode())
    view = PolicyView(revisions)
    view.refresh()
    assert view.rollout_limits("fitting").fetches_per_s == 7
