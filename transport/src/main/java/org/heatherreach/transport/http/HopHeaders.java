package org.heatherreach.transport.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Separates the headers that concern one connection from those that are relayed. Stateless. */
final class HopHeaders {
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

    private HopHeaders() {}

    /** Adds every header of the source that is relayed; headers with the given prefix in lower case are left out. */
    static void copy(HttpHeaders source, HttpHeaders target, String omittedPrefix) {
        Set<String> named = namedByConnection(source);
        for (Map.Entry<String, String> entry : source) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            boolean omitted = !omittedPrefix.isEmpty() && name.startsWith(omittedPrefix);
            if (!omitted && !HOP_BY_HOP.contains(name) && !named.contains(name)) {
                target.add(entry.getKey(), entry.getValue());
            }
        }
    }

    private static Set<String> namedByConnection(HttpHeaders source) {
        if (!source.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String value : source.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        // A caller must not be able to strip the length, which would change the framing of the message.
        names.remove("content-length");
        names.remove("host");
        return names;
    }
}
