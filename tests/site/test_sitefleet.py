"""The harness of the site tests itself."""
import socket

from sitefleet import CONTROL, is_taken, own_net


# A control host ended with -6 in a soak of CI, and in one of 34 runs of its seed: "bind: Address already
# in use". Processes of a soak that had been ended from outside 40 minutes before still listened on
# three networks, whose names were free again with the process that had held them.
def test_a_network_on_which_an_earlier_run_still_listens_is_not_handed_out():
    net = own_net()
    assert not is_taken(net)
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as left_over:
        left_over.bind(("127.%d.1.2" % net, CONTROL))
        left_over.listen()
        assert is_taken(net)
    assert not is_taken(net)
