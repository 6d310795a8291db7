package org.heatherreach.transport.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Copies headers between messages without the hop-by-hop headers, which apply to a single connection. Stateless. */
final class HopByHopHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private HopByHopHeaders() {}

    /**
     * Adds the end-to-end headers of the source to the target, except those that start with the given lower-case
     * prefix.
     */
    static void copy(HttpHeaders source, HttpHeaders target, String omittedPrefix) {
        Set<String> connectionOptions = connectionOptions(source);
        for (Map.Entry<String, String> entry : source) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            boolean omitted = !omittedPrefix.isEmpty() && name.startsWith(omittedPrefix);
            if (!omitted && !HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                target.add(entry.getKey(), entry.getValue());
            }
        }
    }

    private static Set<String> connectionOptions(HttpHeaders source) {
        if (!source.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> options = new HashSet<>();
        for (String value : source.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                options.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        // The Connection header must not remove Host, or Content-Length, which would change the framing of the message.
        options.remove("content-length");
        options.remove("host");
        return options;
    }
}
