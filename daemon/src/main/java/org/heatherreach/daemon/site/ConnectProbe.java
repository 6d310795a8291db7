package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Option;
import org.heatherreach.state.id.ServerId;

/**
 * Probes a server by opening a TCP connection and closing it at once. For a server that is no longer registered the
 * result is that it accepts no connections.
 *
 * <p>Safe for use by any thread.
 */
final class ConnectProbe implements ServerProbe {
    /**
     * The delay before the connection attempt. A crashing server closes its connections and its listening socket one
     * after the other, so the listening socket may still be open when the first connection breaks.
     */
    private static final long PROBE_DELAY_MILLIS = 50;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final EventLoopGroup group;
    private final Function<ServerId, Option<InetSocketAddress>> addresses;
    private final Bootstrap bootstrap;

    /**
     * Creates a probe.
     *
     * @param group the event loops of the connections
     * @param addresses looks up the address of a registered server
     */
    ConnectProbe(EventLoopGroup group, Function<ServerId, Option<InetSocketAddress>> addresses) {
        this.group = Objects.requireNonNull(group, "group");
        this.addresses = Objects.requireNonNull(addresses, "addresses");
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // No handlers: an established connection is the result, and nothing is read from it.
                    }
                });
    }

    @Override
    public void start(ServerId server, Consumer<Boolean> listener) {
        group.schedule(() -> connect(server, listener), PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void connect(ServerId server, Consumer<Boolean> listener) {
        Option<InetSocketAddress> address = addresses.apply(server);
        if (address.isEmpty()) {
            listener.accept(false);
            return;
        }
        ChannelFuture connectFuture = bootstrap.connect(address.get());
        connectFuture.addListener(future -> {
            if (future.isSuccess()) {
                connectFuture.channel().close();
            }
            listener.accept(future.isSuccess());
        });
    }
}
