package org.heatherreach.protocol.peer;

import com.google.protobuf.ByteString;
import org.heatherreach.coordination.table.TableAnswer;
import org.heatherreach.coordination.table.TableFetch;
import org.heatherreach.coordination.table.TablePush;

/**
 * Converts table messages to and from their wire form. Decoding fails with {@link MessageException}. The codec does
 * not interpret the payload. Stateless and safe for use by any thread.
 */
public final class TableCodec {
    private TableCodec() {}

    /** Converts a push to its wire form. */
    public static org.heatherreach.protocol.peer.wire.TablePush encode(TablePush push) {
        return org.heatherreach.protocol.peer.wire.TablePush.newBuilder()
                .setVersion(push.version())
                .setSnapshot(ByteString.copyFrom(push.payload()))
                .build();
    }

    /** Converts a push from its wire form. */
    public static TablePush decode(org.heatherreach.protocol.peer.wire.TablePush wire) {
        return MessageDecoding.decode(
                "TablePush",
                () -> new TablePush(
                        checkVersion(wire.getVersion()), wire.getSnapshot().toByteArray()));
    }

    /** Converts a fetch to its wire form. */
    public static org.heatherreach.protocol.peer.wire.TableFetch encode(TableFetch fetch) {
        return org.heatherreach.protocol.peer.wire.TableFetch.newBuilder()
                .setKnownVersion(fetch.knownVersion())
                .build();
    }

    /** Converts a fetch from its wire form. */
    public static TableFetch decode(org.heatherreach.protocol.peer.wire.TableFetch wire) {
        return MessageDecoding.decode("TableFetch", () -> new TableFetch(checkVersion(wire.getKnownVersion())));
    }

    /** Converts an answer to its wire form. */
    public static org.heatherreach.protocol.peer.wire.TableAnswer encode(TableAnswer answer) {
        return org.heatherreach.protocol.peer.wire.TableAnswer.newBuilder()
                .setVersion(answer.version())
                .setSnapshot(ByteString.copyFrom(answer.payload()))
                .build();
    }

    /** Converts an answer from its wire form. */
    public static TableAnswer decode(org.heatherreach.protocol.peer.wire.TableAnswer wire) {
        return MessageDecoding.decode(
                "TableAnswer",
                () -> new TableAnswer(
                        checkVersion(wire.getVersion()), wire.getSnapshot().toByteArray()));
    }

    private static long checkVersion(long version) {
        if (version < 0) {
            throw new IllegalArgumentException("version must not be negative");
        }
        return version;
    }
}
