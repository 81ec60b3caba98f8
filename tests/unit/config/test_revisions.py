"""Guards against a node that reverts to an older configuration revision."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from pistachionotch.config.revisions import Applied, Ignored, IgnoreReason, Revisions

NODES = st.integers(0, 3)


class RevisionExchange(RuleBasedStateMachine):
    """Delivers revisions to nodes late, twice and in any order, from the store or from peers."""

    def __init__(self):
        super().__init__()
        self.published = {}
        self.nodes = [Revisions() for _ in range(4)]
        self.highest = [0] * 4
        self.in_transit = []

    def offer(self, node, revision):
        before = self.nodes[node].revision
        result = self.nodes[node].offer(revision, self.published[revision])
        assert isinstance(result, Applied if revision > before else Ignored)
        self.highest[node] = max(self.highest[node], revision)

    @initialize()
    def first_revision(self):
        self.publish(1)

    @rule(step=st.integers(1, 5))
    def publish(self, step):
        revision = max(self.published, default=0) + step
        self.published[revision] = b"body %d" % revision

    @rule(node=NODES, data=st.data())
    def deliver_from_the_store(self, node, data):
        self.offer(node, data.draw(st.sampled_from(sorted(self.published))))

    @precondition(lambda self: any(node.revision for node in self.nodes))
    @rule(source=NODES, receiver=NODES)
    def send_to_a_peer(self, source, receiver):
        if self.nodes[source].revision:
            self.in_transit.append((receiver, self.nodes[source].revision))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), again=st.booleans())
    def deliver_from_a_peer(self, data, again):
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        receiver, revision = self.in_transit[index]
        if not again:
            self.in_transit.pop(index)
        self.offer(receiver, revision)

    @rule(node=NODES)
    def restart_and_ask_the_peers(self, node):
        self.nodes[node] = Revisions()
        self.highest[node] = 0
        for peer in self.nodes:
            if self.nodes[node].wants(peer.revision):
                self.offer(node, peer.revision)
        assert self.nodes[node].revision == max(peer.revision for peer in self.nodes)

    @rule(node=NODES, body=st.binary(max_size=3))
    def another_body_under_a_known_revision(self, node, body):
        known = self.nodes[node]
        if known.revision and body != known.body:
            expected = Ignored(known.revision, IgnoreReason.DIFFERENT_BODY)
            assert known.offer(known.revision, body) == expected

    @rule(node=NODES, revision=st.integers(-3, 0))
    def invalid_revision(self, node, revision):
        before = self.nodes[node].revision
        assert self.nodes[node].offer(revision, b"x") == Ignored(before, IgnoreReason.INVALID)

    @invariant()
    def every_node_has_the_highest_revision_it_was_offered(self):
        for node, highest in zip(self.nodes, self.highest, strict=True):
            assert node.revision == highest
            assert node.body == (self.published[highest] if highest else b"")


RevisionExchange.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestRevisionExchange = RevisionExchange.TestCase
