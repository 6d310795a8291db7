package org.heatherreach.transport.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * Sends and receives packets of one type over UDP.
 *
 * <p>Invariant: a packet larger than 1,200 bytes is never sent, which avoids IP fragmentation; a malformed packet is
 * counted and dropped.
 *
 * <p>Thread safety: safe for use by any thread.
 *
 * @param <M> the type of the packets
 */
public final class PacketSocket<M extends MessageLite> implements AutoCloseable {
    /** A packet of this size and its headers fit the smallest path MTU in common use. */
    public static final int PACKET_LIMIT_BYTES = 1200;

    private final EventLoopGroup group;
    private final PeerCounters counters;
    private final Parser<M> parser;
    private volatile Channel channel;

    /** Creates a socket. The group stays open when the socket is closed. */
    public PacketSocket(EventLoopGroup group, PeerCounters counters, Parser<M> parser) {
        this.group = Objects.requireNonNull(group, "group");
        this.counters = Objects.requireNonNull(counters, "counters");
        this.parser = Objects.requireNonNull(parser, "parser");
    }

    /**
     * Opens the socket and starts to receive.
     *
     * @return the bound address
     * @throws IllegalStateException if the address can't be bound
     */
    public InetSocketAddress bind(String host, int port, PacketHandler<M> handler) {
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(new InboundHandler(handler))
                .bind(host, port)
                .awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw new IllegalStateException("cannot bind " + host + ':' + port + " for UDP packets", future.cause());
        }
        channel = future.channel();
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Sends a packet without a guarantee of delivery.
     *
     * @throws IllegalArgumentException if the packet is larger than the limit
     */
    public void send(M packet, InetSocketAddress recipient) {
        byte[] bytes = packet.toByteArray();
        if (bytes.length > PACKET_LIMIT_BYTES) {
            throw new IllegalArgumentException("packet of " + bytes.length + " bytes exceeds the size limit");
        }
        counters.countSent(bytes.length);
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), recipient));
    }

    /** Closes the socket. */
    @Override
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final PacketHandler<M> handler;

        InboundHandler(PacketHandler<M> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            byte[] bytes = ByteBufUtil.getBytes(datagram.content());
            counters.countReceived(bytes.length);
            M packet;
            try {
                packet = parser.parseFrom(bytes);
            } catch (InvalidProtocolBufferException e) {
                counters.countMalformedPacket();
                return;
            }
            handler.receive(packet, datagram.sender());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // An ICMP port unreachable message for an earlier datagram must not close the socket.
            counters.countMalformedPacket();
        }
    }
}
