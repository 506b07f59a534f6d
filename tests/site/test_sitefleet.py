"""Tests of the harness that the site tests use."""
import socket

from sitefleet import CONTROL, is_taken, reserve_net


def test_a_network_still_used_by_an_earlier_run_is_not_reserved():
    net = reserve_net()
    assert not is_taken(net)
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as left_over:
        left_over.bind(("127.%d.1.2" % net, CONTROL))
        left_over.listen()
        assert is_taken(net)
    assert not is_taken(net)
