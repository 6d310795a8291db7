package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vavr.control.Either;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.protocol.http.StatusLine;
import reactor.netty.http.client.HttpClient;

/**
 * Checks the status line of each response ahead of the HTTP decoder of a client, which accepts numbers and versions that
 * are none. For clients whose other framing the HTTP library checks; the connections of callers' requests have
 * {@link BackendGuard}.
 *
 * <p>Invariant: no part of a response with an invalid status reaches the decoder beyond the bytes before the end of its
 * status line, the call fails, and its connection is closed.
 *
 * <p>Confined to the event loop of its channel.
 */
public final class ResponseStatusGuard extends ChannelInboundHandlerAdapter {
    private static final String NAME = "heatherreach.responseStatusGuard";
    /** Only the version and the status are checked; the rest of the line may be longer. */
    private static final int CHECKED_CHARACTERS = 32;

    private final Consumer<InvalidStatus> listener;
    private final StringBuilder line = new StringBuilder();
    private Position position = Position.OUTSIDE;

    private enum Position {
        /** After the status line of the final response, or without a call. */
        OUTSIDE,
        STATUS_LINE,
        /** In the headers of an interim response, which another status line follows. */
        INTERIM_HEADERS,
        /** After an invalid status. */
        CLOSED
    }

    private ResponseStatusGuard(Consumer<InvalidStatus> listener) {
        this.listener = listener;
    }

    /**
     * Returns a client that checks its responses.
     *
     * @param client the client, which sends one request at a time on a connection
     * @param listener called on an event loop for each invalid status; must not block
     */
    public static HttpClient install(HttpClient client, Consumer<InvalidStatus> listener) {
        Objects.requireNonNull(listener, "listener");
        return client.doOnChannelInit((observer, channel, remote) ->
                        channel.pipeline().addFirst(NAME, new ResponseStatusGuard(listener)))
                .doOnRequest((request, connection) -> connection
                        .channel()
                        .pipeline()
                        .get(ResponseStatusGuard.class)
                        .begin());
    }

    private void begin() {
        if (position != Position.CLOSED) {
            position = Position.STATUS_LINE;
            line.setLength(0);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (position == Position.OUTSIDE || !(msg instanceof ByteBuf bytes)) {
            ctx.fireChannelRead(msg);
            return;
        }
        for (int i = bytes.readerIndex(); i < bytes.writerIndex() && isChecking(); i++) {
            accept(ctx, (char) (bytes.getByte(i) & 0xff));
        }
        if (position == Position.CLOSED) {
            bytes.release();
        } else {
            ctx.fireChannelRead(bytes);
        }
    }

    private boolean isChecking() {
        return position == Position.STATUS_LINE || position == Position.INTERIM_HEADERS;
    }

    private void accept(ChannelHandlerContext ctx, char character) {
        if (character != '\n') {
            if (line.length() < CHECKED_CHARACTERS) {
                line.append(character);
            }
            return;
        }
        int length = line.length();
        if (length > 0 && line.charAt(length - 1) == '\r') {
            line.setLength(length - 1);
        }
        if (position == Position.STATUS_LINE) {
            checkStatusLine(ctx);
        } else if (line.length() == 0) {
            position = Position.STATUS_LINE;
        }
        line.setLength(0);
    }

    private void checkStatusLine(ChannelHandlerContext ctx) {
        Either<InvalidStatus, Integer> status = StatusLine.parse(line);
        if (status.isLeft()) {
            position = Position.CLOSED;
            listener.accept(status.getLeft());
            ctx.fireExceptionCaught(new InvalidStatusException(status.getLeft()));
            ctx.close();
        } else {
            position = status.get() == StatusLine.CONTINUE ? Position.INTERIM_HEADERS : Position.OUTSIDE;
        }
    }
}
