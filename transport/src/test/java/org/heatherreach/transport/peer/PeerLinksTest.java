package org.heatherreach.transport.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.protocol.peer.wire.Intent;
import org.heatherreach.protocol.peer.wire.IntentAck;
import org.heatherreach.state.id.IncarnationId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PeerLinksTest {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final PeerCounters counters = new PeerCounters(registry);
    private final PeerLinks server = new PeerLinks(group, new IncarnationId(1), counters);
    private final PeerLinks client = new PeerLinks(group, new IncarnationId(2), counters);

    @AfterTry
    void close() {
        client.close();
        server.close();
        group.shutdownGracefully();
    }

    // Guards against a response that completes the wrong request when responses arrive out of order.
    @Example
    void matchesReorderedResponsesToTheirRequests() {
        int requests = 500;
        List<Runnable> pendingReplies = Collections.synchronizedList(new ArrayList<>());
        PeerAddress address = listen((frame, reply) -> {
            pendingReplies.add(() -> reply.accept(acknowledge(frame)));
            if (pendingReplies.size() == requests) {
                Collections.shuffle(pendingReplies, new Random(7));
                pendingReplies.forEach(Runnable::run);
            }
        });
        List<String> mismatches = Flux.range(0, requests)
                .flatMap(
                        i -> client.request(address, intent("key-" + i), TIMEOUT_MILLIS)
                                .map(frame -> frame.getIntentAck().getKey())
                                .filter(key -> !key.equals("key-" + i)),
                        requests)
                .collectList()
                .block();
        assertThat(mismatches).isEmpty();
        assertThat(pendingReplies).hasSize(requests);
    }

    // Guards against a process on a replaced VM that handles frames for the former process at its address.
    @Example
    void refusesFramesForAnotherIncarnation() {
        List<Frame> handled = Collections.synchronizedList(new ArrayList<>());
        PeerAddress address = listen((frame, reply) -> handled.add(frame));
        PeerAddress formerAddress = new PeerAddress(new IncarnationId(9), address.host(), address.port());
        Mono<Frame> request = client.request(formerAddress, intent("key"), TIMEOUT_MILLIS);
        assertThatThrownBy(request::block)
                .isInstanceOfSatisfying(
                        PeerException.class, e -> assertThat(e.failure()).isEqualTo(PeerFailure.WRONG_INCARNATION));
        assertThat(handled).isEmpty();
    }

    // Guards against a request that waits for its timeout although its connection was closed.
    @Example
    void failsRequestsOfALostConnection() {
        PeerAddress address = listen((frame, reply) -> server.close());
        Mono<Frame> request = client.request(address, intent("key"), TIMEOUT_MILLIS);
        assertThatThrownBy(request::block)
                .isInstanceOfSatisfying(
                        PeerException.class, e -> assertThat(e.failure()).isEqualTo(PeerFailure.CONNECTION_LOST));
    }

    // Guards against a failure that is reported as possibly handled although no connection was established.
    @Example
    void reportsAnUnreachablePeerAsNotHandled() {
        PeerAddress address = listen((frame, reply) -> {});
        server.close();
        Mono<Frame> request =
                client.request(new PeerAddress(new IncarnationId(1), "127.0.0.1", 1), intent("key"), TIMEOUT_MILLIS);
        assertThatThrownBy(request::block)
                .isInstanceOfSatisfying(
                        PeerException.class,
                        e -> assertThat(e.failure().isNotHandled()).isTrue());
        assertThat(address.port()).isPositive();
    }

    private PeerAddress listen(FrameHandler handler) {
        InetSocketAddress bound = server.bind("127.0.0.1", 0, handler);
        return new PeerAddress(new IncarnationId(1), "127.0.0.1", bound.getPort());
    }

    private static Frame.Builder intent(String key) {
        return Frame.newBuilder().setIntent(Intent.newBuilder().setKey(key));
    }

    private static Frame.Builder acknowledge(Frame frame) {
        return Frame.newBuilder()
                .setIntentAck(IntentAck.newBuilder()
                        .setKey(frame.getIntent().getKey())
                        .setAccepted(true));
    }
}
