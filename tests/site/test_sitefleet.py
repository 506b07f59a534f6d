"""The harness of the site tests itself."""
import socket

from sitefleet import CONTROL, is_taken, own_net


def test_a_network_on_which_an_earlier_run_still_listens_is_not_handed_out():
    net = own_net()
    assert not is_taken(net)
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as left_over:
        left_over.bind(("127.%d.1.2" % net, CONTROL))
        left_over.listen()
        assert is_taken(net)
    assert not is_taken(net)
