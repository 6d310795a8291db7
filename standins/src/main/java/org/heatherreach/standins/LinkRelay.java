package org.heatherreach.standins;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A TCP relay between two addresses whose directions are cut, delayed, slowed down, reset or half-closed, and whose
 * single connections go silent. Bytes keep their order within a direction. Safe for use by any thread.
 */
public final class LinkRelay implements AutoCloseable {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Set<LinkPump> pumps = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress target;
    private final Channel listener;
    private final AdminServer admin;
    private final LinkRate backwardRate = new LinkRate(System.nanoTime());
    private volatile LinkFaults faults = LinkFaults.NONE;

    /** Listens on the given loopback address and relays each connection to the target. */
    public LinkRelay(String host, int port, int adminPort, InetSocketAddress target) {
        Loopback.check(host);
        Loopback.check(target.getHostString());
        this.target = target;
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
        admin = new AdminServer(
                host,
                adminPort,
                routes -> routes.get("/faults", () -> faults)
                        .post("/faults", body -> {
                            setFaults(Json.update(faults, body, LinkFaults.class));
                            return faults;
                        })
                        .post("/reset", body -> Json.object().put("reset", reset()))
                        .post(
                                "/half-close",
                                body -> Json.object()
                                        .put(
                                                "halfClosed",
                                                halfClose(body.path("forward").asBoolean(true)))));
    }

    /** Returns the port of the relay. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the port of the admin endpoint. */
    public int adminPort() {
        return admin.port();
    }

    /** Replaces the faults in force. A direction that is no longer cut delivers what has waited. */
    public void setFaults(LinkFaults newFaults) {
        faults = newFaults;
        pumps.forEach(LinkPump::resume);
    }

    /** Returns the faults in force. */
    public LinkFaults faults() {
        return faults;
    }

    /** Limits the rate that all connections together have backward, beside the other faults; 0 ends the limit. */
    public void setBackwardRate(int bytesPerSecond) {
        setFaults(faults.withBackwardRate(bytesPerSecond));
    }

    /**
     * Returns the open connections that are not silent, each by the address from which the relay has connected to the
     * target.
     */
    public Set<SocketAddress> openConnections() {
        return pumps.stream()
                .filter(pump -> !pump.isSilent())
                .map(LinkPump::targetSideAddress)
                .filter(Objects::nonNull)
                .collect(Collectors.toSet());
    }

    /**
     * Makes connections silent for good without closing them: what either side sends is read and discarded. In force
     * when this method returns.
     *
     * @param connections those of {@link #openConnections} to silence
     * @param backwardBytes how many more bytes pass backward before
     */
    public void silence(Set<SocketAddress> connections, long backwardBytes) {
        pumps.stream()
                .filter(pump -> connections.contains(pump.targetSideAddress()))
                .forEach(pump -> pump.silence(pump.isForward() ? 0 : backwardBytes));
    }

    /** Resets all connections and returns how many directions there were. */
    public int reset() {
        int count = pumps.size();
        pumps.forEach(LinkPump::reset);
        return count;
    }

    /** Ends the output of one direction of all connections, as if the sender had shut its output down. */
    public int halfClose(boolean forward) {
        int count = 0;
        for (LinkPump pump : pumps) {
            if (pump.isForward() == forward) {
                pump.endOutput();
                count++;
            }
        }
        return count;
    }

    /** Returns the number of connections in relay. */
    public int connections() {
        return pumps.size() / 2;
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        reset();
        admin.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void accept(SocketChannel client) {
        if (faults.refuse()) {
            LinkPump.abort(client);
            return;
        }
        LinkPump backward = new LinkPump(false, () -> faults.cutBackward(), this::backwardDelayNanos, pumps);
        LinkPump forward = new LinkPump(
                true,
                () -> faults.cutForward(),
                bytes -> TimeUnit.MILLISECONDS.toNanos(faults.delayForwardMillis()),
                pumps);
        ChannelFuture connecting = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(backward)
                .connect(target);
        SocketChannel server = (SocketChannel) connecting.channel();
        client.pipeline().addLast(forward);
        forward.connect(client, server);
        backward.connect(server, client);
        connecting.addListener(future -> {
            if (future.isSuccess()) {
                forward.resume();
                backward.resume();
            } else {
                pumps.remove(backward);
                LinkPump.abort(client);
            }
        });
    }

    private long backwardDelayNanos(int bytes) {
        LinkFaults current = faults;
        return TimeUnit.MILLISECONDS.toNanos(current.delayBackwardMillis())
                + backwardRate.schedule(bytes, current.backwardBytesPerSecond(), System.nanoTime());
    }
}
