package org.heatherreach.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class ContentCoalescerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private EmbeddedChannel channel = newChannel();

    // Guards against one write and one system call for each chunk of a few bytes, which keeps the event loop from
    // serving any other connection.
    @Example
    void passesTheTinyChunksOfOneReadOnTogether() {
        StringBuilder chunks = new StringBuilder();
        for (int i = 0; i < 2000; i++) {
            chunks.append("1\r\nx\r\n");
        }
        channel.writeInbound(bytes(HEAD + chunks));
        assertThat(readParts()).containsExactly("x".repeat(2000));
        channel.finishAndReleaseAll();
    }

    // Guards against bytes that wait for a later read: a server may pause after a part of its body.
    @Example
    void holdsNothingBackAfterARead() {
        channel.writeInbound(bytes(HEAD + "1\r\na\r\n"));
        assertThat(readParts()).containsExactly("a");
        channel.writeInbound(bytes("1\r\nb\r\n"));
        assertThat(readParts()).containsExactly("b");
        channel.finishAndReleaseAll();
    }

    // Guards against bytes that are lost, doubled or out of order where small and large chunks alternate, wherever the
    // reads cut them.
    @Property(tries = 200, seed = "2026120526")
    void keepsTheBytesOfABody(
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 3000) Integer> chunkLengths,
            @ForAll @IntRange(min = 1, max = 20_000) int readLength) {
        StringBuilder message = new StringBuilder(HEAD);
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < chunkLengths.size(); i++) {
            String chunk = String.valueOf((char) ('a' + i % 26)).repeat(chunkLengths.get(i));
            body.append(chunk);
            message.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        message.append("0\r\n\r\n");
        channel = newChannel();
        StringBuilder received = new StringBuilder();
        for (int i = 0; i < message.length(); i += readLength) {
            channel.writeInbound(bytes(message.substring(i, Math.min(message.length(), i + readLength))));
            readParts().forEach(received::append);
        }
        assertThat(received.toString()).isEqualTo(body.toString());
        channel.finishAndReleaseAll();
    }

    private static EmbeddedChannel newChannel() {
        return new EmbeddedChannel(new HttpResponseDecoder(), new ContentCoalescer());
    }

    /** Returns the parts of the body that were passed on; the last one only if it has bytes. */
    private List<String> readParts() {
        List<String> parts = new ArrayList<>();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpContent content) {
                String text = content.content().toString(StandardCharsets.ISO_8859_1);
                if (!text.isEmpty() || !(content instanceof LastHttpContent)) {
                    parts.add(text);
                }
                content.release();
            }
        }
        return parts;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
