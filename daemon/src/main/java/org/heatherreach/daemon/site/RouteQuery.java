package org.heatherreach.daemon.site;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.id.WorkspaceId;

/**
 * The parameters of a question where a request would go. Immutable and safe for use by any thread.
 *
 * @param host the host without a port, in lower case
 * @param path the path without its query
 * @param method the HTTP method
 * @param workspace the workspace of the caller, if any
 * @param bodyBytes the length of the body
 */
record RouteQuery(String host, String path, String method, Option<WorkspaceId> workspace, long bodyBytes) {
    private static final Map<String, String> DEFAULTS = Map.of("method", "GET", "workspace", "", "body-bytes", "0");
    private static final List<String> REQUIRED = List.of("host", "path");
    private static final Pattern METHOD = Pattern.compile("[A-Za-z-]{1,32}");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern PORT = Pattern.compile(":[0-9]*$");

    RouteQuery {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(workspace, "workspace");
    }

    /**
     * Parses the target of the endpoint.
     *
     * @return the left value says which parameter is missing or malformed; it repeats no value, as one may be a secret
     */
    static Either<String, RouteQuery> parse(String target) {
        Map<String, List<String>> parameters;
        try {
            parameters = new QueryStringDecoder(target).parameters();
        } catch (IllegalArgumentException e) {
            return Either.left("the query is not percent-encoded correctly");
        }
        for (Map.Entry<String, List<String>> parameter : parameters.entrySet()) {
            if (!REQUIRED.contains(parameter.getKey()) && !DEFAULTS.containsKey(parameter.getKey())) {
                return Either.left("unknown parameter; there are host, path, " + optionalNames());
            }
            if (parameter.getValue().size() != 1) {
                return Either.left(parameter.getKey() + " is given more than once");
            }
        }
        String host = PORT.matcher(valueOf(parameters, "host")).replaceFirst("").toLowerCase(Locale.ROOT);
        String path = valueOf(parameters, "path").replaceFirst("\\?.*", "");
        String method = valueOf(parameters, "method");
        String workspace = valueOf(parameters, "workspace");
        String bodyBytes = valueOf(parameters, "body-bytes");
        if (host.isBlank()) {
            return Either.left("host is missing");
        }
        if (!path.startsWith("/")) {
            return Either.left(path.isEmpty() ? "path is missing" : "path must begin with a slash");
        }
        if (!METHOD.matcher(method).matches()) {
            return Either.left("method must be the name of an HTTP method");
        }
        if (!LENGTH.matcher(bodyBytes).matches()) {
            return Either.left("body-bytes must be a number that is not negative");
        }
        Option<WorkspaceId> id = workspace.isBlank() ? Option.none() : Option.some(new WorkspaceId(workspace));
        return Either.right(new RouteQuery(host, path, method, id, Long.parseLong(bodyBytes)));
    }

    private static String valueOf(Map<String, List<String>> parameters, String name) {
        List<String> values = parameters.get(name);
        return values == null ? DEFAULTS.getOrDefault(name, "") : values.get(0);
    }

    private static String optionalNames() {
        return String.join(", ", new TreeSet<>(DEFAULTS.keySet()));
    }
}
