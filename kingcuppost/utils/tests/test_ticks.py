"""Systems run in the order of phase and position, independent of their names."""

import pytest

from kingcuppost.utils.ticks import Phase, SystemRegistry

ROLES = ("entry", "sidecar")


def test_systems_are_ordered_by_phase_then_position():
    registry = SystemRegistry(ROLES)

    @registry.system(Phase.ACT, order=20)
    def alpha(world, now_ms):
        pass

    @registry.system(Phase.ACT, order=10)
    def omega(world, now_ms):
        pass

    @registry.system(Phase.FOLD, order=30)
    def zeta(world, now_ms):
        pass

    runs = [item.run for item in registry.systems_of("entry")]
    assert runs == [zeta, omega, alpha]


def test_registering_a_second_system_at_a_position_fails():
    registry = SystemRegistry(ROLES)

    @registry.system(Phase.ACT, order=10)
    def alpha(world, now_ms):
        pass

    with pytest.raises(ValueError, match="position 10"):

        @registry.system(Phase.ACT, ("entry",), order=10)
        def omega(world, now_ms):
            pass
