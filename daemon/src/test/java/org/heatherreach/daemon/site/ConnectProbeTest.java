package org.heatherreach.daemon.site;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.heatherreach.state.id.ServerId;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectProbeTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ConnectProbe probe = new ConnectProbe(
            group,
            server -> server.value().equals("none")
                    ? Option.none()
                    : Option.some(new InetSocketAddress("127.0.0.1", Integer.parseInt(server.value()))));

    @AfterTry
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // Guards against a probe that works only once, after which every server would count as crashed.
    @Example
    void distinguishesListeningServersFromClosedPortsRepeatedly() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 3; i++) {
                assertThat(probe(Option.some(listening.getLocalPort()))).isTrue();
                assertThat(probe(Option.some(closedPort()))).isFalse();
            }
        }
        assertThat(probe(Option.none())).as("a server that is not listed").isFalse();
    }

    private boolean probe(Option<Integer> port) throws Exception {
        CompletableFuture<Boolean> connected = new CompletableFuture<>();
        probe.start(new ServerId(port.map(String::valueOf).getOrElse("none")), connected::complete);
        return connected.get(10, TimeUnit.SECONDS);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
