"""Makes Hypothesis tests give the same verdict each time, whatever else is loaded or edited.

Hypothesis draws some values from constants in the source of all loaded modules, so an edit of any
module, or another test that loads one, would change the examples of every test. It has no setting
for that, so the collection is replaced by an empty one.
"""

from hypothesis import settings
from hypothesis.internal.conjecture import providers


def no_constants():
    return providers.Constants()


providers._get_local_constants = no_constants
settings.register_profile("same-verdict", derandomize=True, deadline=None, database=None)
settings.load_profile("same-verdict")
