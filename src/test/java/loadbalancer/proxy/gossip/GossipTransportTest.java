package loadbalancer.proxy.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against datagrams that are sent to unknown peers or accepted from unknown senders, and against datagrams of
 * more than 256 bytes in both directions.
 */
@Timeout(60)
class GossipTransportTest {
    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static DatagramPacket receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        return packet;
    }

    @Test
    void sendsToEachPeerWithoutBroadcastAddress() throws Exception {
        try (DatagramSocket first = socket();
                DatagramSocket second = socket();
                SidecarFixture fixture = new SidecarFixture()) {
            fixture.gossipFields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:" + first.getLocalPort()
                    + "\",\"127.0.0.1:" + second.getLocalPort() + "\"],";
            fixture.onRequest = (nowMicros, request, actions) -> {
                actions.sendGossip(-1, new byte[7]);
                actions.fail(request.id());
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                assertEquals(502, client.readStatus());
            }
            assertEquals(7, receive(first).getLength());
            assertEquals(7, receive(second).getLength());
        }
    }

    @Test
    void sendsToReloadedBroadcastAddress() throws Exception {
        try (DatagramSocket receiver = socket();
                SidecarFixture fixture = new SidecarFixture()) {
            String fields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\"],\"peers_all\":\"127.0.0.1:";
            fixture.gossipFields = fields + "9\",";
            fixture.onRequest = (nowMicros, request, actions) -> {
                actions.sendGossip(-1, new byte[7]);
                actions.fail(request.id());
            };
            fixture.start();
            fixture.gossipFields = fields + receiver.getLocalPort() + "\",";
            fixture.reload(fixture.discovery.address());
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                assertEquals(502, client.readStatus());
            }
            assertEquals(7, receive(receiver).getLength());
        }
    }

    @Test
    void exchangesOnlyDatagramsWithinSizeLimitWithPeers() throws Exception {
        try (DatagramSocket peer = socket();
                DatagramSocket unknownSender = socket();
                DatagramSocket broadcastReceiver = socket();
                SidecarFixture fixture = new SidecarFixture()) {
            fixture.gossipFields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                    + peer.getLocalPort() + "\"],\"peers_all\":\"127.0.0.1:" + broadcastReceiver.getLocalPort() + "\",";
            fixture.onRequest = (nowMicros, request, actions) -> {
                actions.sendGossip(1, new byte[5]);
                actions.sendGossip(7, new byte[5]);
                actions.sendGossip(1, new byte[257]);
                actions.sendGossip(1, new byte[256]);
                actions.sendGossip(-1, new byte[7]);
                actions.fail(request.id());
            };
            fixture.start();
            try (StubServer.Client client = fixture.client()) {
                client.send(SidecarFixture.idempotentRequest("a1", 20_000));
                assertEquals(502, client.readStatus());
            }
            DatagramPacket first = receive(peer);
            assertEquals(5, first.getLength());
            assertEquals(256, receive(peer).getLength());
            assertEquals(7, receive(broadcastReceiver).getLength());

            InetSocketAddress sidecarAddress = (InetSocketAddress) first.getSocketAddress();
            unknownSender.send(new DatagramPacket(new byte[3], 3, sidecarAddress));
            peer.send(new DatagramPacket(new byte[257], 257, sidecarAddress));
            peer.send(new DatagramPacket(new byte[0], 0, sidecarAddress));
            peer.send(new DatagramPacket(new byte[256], 256, sidecarAddress));
            assertEquals("gossip 1 0", fixture.awaitEvent("gossip"));
            assertEquals("gossip 1 256", fixture.awaitEvent("gossip"));
        }
    }
}
