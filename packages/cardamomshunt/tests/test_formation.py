"""The seeds of a first start form one group, though one of them is missing."""

import pytest
from cardamomshunt._consensus.followers import majority
from cardamomshunt._consensus.formation_acceptor import FormationAcceptor
from cardamomshunt._consensus.formation_messages import (
    Ballot,
    FormationAccept,
    FormationAccepted,
    FormationPrepare,
    FormationPromise,
    FormationRecord,
)
from cardamomshunt._consensus.formation_proposer import FormationProposer
from cardamomshunt._consensus.messages import Member
from formation_model import SeedNetwork

N_SCHEDULES_PER_BLOCK = 1_000
N_BLOCKS = 10
_DISTURBED_MS = 3_000.0
_CALM_MS = 6_000.0
_MEMBERS = [Member(node="a", zone="", peer_address="a", operator_address="a")]


def _started(network: SeedNetwork, names: list[str]) -> SeedNetwork:
    """Start some seeds on links that lose nothing."""
    network.loss_share = 0.0
    for name in names:
        network.seeds[name].start(network.now_ms)
    return network


@pytest.mark.parametrize(
    ("n_seeds", "n_started", "n_members"),
    [(1, 1, 1), (2, 2, 2), (3, 3, 3), (3, 2, 2), (5, 5, 5), (5, 3, 3)],
)
def test_a_majority_of_the_seeds_forms_a_group(n_seeds, n_started, n_members):
    """Guards against a first start that waits for a lost machine for ever."""
    for seed in range(20):
        network = SeedNetwork(seed, n_seeds)
        _started(network, list(network.seeds)[n_seeds - n_started :])
        network.run(_CALM_MS)
        assert len(network.formed) == 1
        assert len(network.formed[0]) == n_members


@pytest.mark.parametrize(("n_seeds", "n_started"), [(2, 1), (3, 1), (5, 2)])
def test_fewer_seeds_form_no_group(n_seeds, n_started):
    """Guards against two groups, one on each side of a cut."""
    network = SeedNetwork(1, n_seeds)
    _started(network, list(network.seeds)[:n_started])
    network.run(_CALM_MS)
    assert network.formed == []


def _prepared(now_ms: float) -> tuple[FormationProposer, Ballot]:
    """Return a proposer that knows three seeds and has asked for their promises."""
    network = SeedNetwork(1)
    proposer = FormationProposer(
        "seed-0", 10, network.members, network.random, now_ms, majority(3)
    )
    proposer.on_empty_seed("seed-1", 11)
    proposer.on_empty_seed("seed-2", 12)
    prepare = proposer.tick(now_ms)
    assert isinstance(prepare, FormationPrepare)
    return proposer, prepare.ballot


def _promise(ballot: Ballot, incarnation: int) -> FormationPromise:
    return FormationPromise(
        term=0,
        incarnation=incarnation,
        ballot=ballot,
        promised=ballot,
        accepted=Ballot(),
    )


def _accepted(ballot: Ballot, incarnation: int) -> FormationAccepted:
    return FormationAccepted(
        term=0, incarnation=incarnation, ballot=ballot, promised=ballot
    )


def test_a_seed_whose_promise_is_late_is_a_member():
    """Guards against a group of two of three seeds that the loss of one ends."""
    proposer, ballot = _prepared(0.0)
    proposer.on_promise(1.0, "seed-0", _promise(ballot, 10))
    proposer.on_promise(1.0, "seed-1", _promise(ballot, 11))
    accept = proposer.tick(300.0)
    assert [item.incarnation for item in accept.members] == [10, 11, 12]


def test_only_seeds_count_towards_a_majority():
    """Guards against a second group by the answers of nodes that are no seeds."""
    proposer, ballot = _prepared(0.0)
    proposer.on_promise(1.0, "seed-0", _promise(ballot, 10))
    proposer.on_promise(1.0, "foreign", _promise(ballot, 13))
    assert proposer.tick(300.0) is None
    proposer.on_promise(301.0, "seed-1", _promise(ballot, 11))
    assert isinstance(proposer.tick(302.0), FormationAccept)
    assert proposer.on_accepted(303.0, "seed-0", _accepted(ballot, 10)) is None
    assert proposer.on_accepted(303.0, "foreign", _accepted(ballot, 13)) is None
    assert proposer.on_accepted(303.0, "seed-1", _accepted(ballot, 11)) is not None


def test_all_seeds_form_the_group_without_a_wait():
    """Guards against a first start that is slow though nothing is missing."""
    network = _started(SeedNetwork(1), ["seed-0", "seed-1", "seed-2"])
    network.run(600.0)
    assert len(network.formed[0]) == 3


@pytest.mark.parametrize(
    ("ballot", "is_accepted"), [((1, "a"), False), ((2, "a"), False), ((2, "b"), True)]
)
def test_a_promise_rules_out_lower_ballots(ballot, is_accepted):
    """Guards against an acceptor that takes a proposal after a higher promise."""
    acceptor = FormationAcceptor(1, FormationRecord())
    promised = Ballot(2, "b")
    acceptor.on_prepare(FormationPrepare(term=0, incarnation=1, ballot=promised))
    message = FormationAccept(
        term=0, incarnation=1, ballot=Ballot(*ballot), members=_MEMBERS
    )
    reply = acceptor.on_accept(message)
    assert (reply.promised <= message.ballot) is is_accepted
    assert (acceptor.record.members == _MEMBERS) is is_accepted


def _disturb(network: SeedNetwork) -> None:
    """Draw starts, a lost seed, a lost disk, restarts and cuts."""
    random = network.random
    names = list(network.seeds)
    lost = random.choice([None, None, *names])
    wiped = random.choice([None, None, None, *names]) if lost is None else None
    for name, seed in network.seeds.items():
        network.at(random.uniform(0.0, 300.0), lambda s=seed: s.start(network.now_ms))
        if name == lost:
            network.at(random.uniform(0.0, _DISTURBED_MS), seed.stop)
            continue
        for _ in range(random.choice([0, 0, 1, 2])):
            _restart(network, seed, loses_disk=False)
        if name == wiped:
            _restart(network, seed, loses_disk=True)
    for _ in range(random.choice([0, 1, 2, 4])):
        link = tuple(random.sample(names, 2))
        at_ms = random.uniform(0.0, _DISTURBED_MS)
        network.at(at_ms, lambda cut=link: network.cut_links.add(cut))


def _restart(network: SeedNetwork, seed, *, loses_disk: bool) -> None:
    stop_ms = network.random.uniform(300.0, _DISTURBED_MS - 500.0)

    def stop() -> None:
        seed.stop()
        if loses_disk:
            seed.lose_disk()

    network.at(stop_ms, stop)
    start_ms = stop_ms + network.random.uniform(10.0, 500.0)
    network.at(start_ms, lambda: seed.start(network.now_ms))


def run_schedule(number: int) -> SeedNetwork:
    """Run one schedule of faults, and then a calm time without cuts."""
    network = SeedNetwork(number)
    _disturb(network)
    network.run(_DISTURBED_MS)
    network.cut_links.clear()
    network.run(_DISTURBED_MS + _CALM_MS)
    return network


@pytest.mark.parametrize("block", range(N_BLOCKS))
def test_schedules_form_exactly_one_group(block):
    """Guards against two groups, and against none where a majority has its disks."""
    first = block * N_SCHEDULES_PER_BLOCK
    for number in range(first, first + N_SCHEDULES_PER_BLOCK):
        network = run_schedule(number)
        assert len(network.formed) == 1, f"schedule {number}: {network.formed}"
