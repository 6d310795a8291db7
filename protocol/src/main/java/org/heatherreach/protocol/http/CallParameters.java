package org.heatherreach.protocol.http;

import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.rank.Rank;

/**
 * The parameters that a caller states for its request in headers. Immutable and safe for use by any thread.
 *
 * @param service the service, if the caller named one
 * @param rank the rank, which is standard if not stated
 * @param timeoutMillis the time that the caller still waits for an answer, if stated
 * @param workspace the workspace, if stated
 * @param key the execution key, if the request must run at most once
 * @param forwardedBy the incarnation that forwarded the request, if a daemon did
 * @param requestId the id, if the caller chose one
 */
public record CallParameters(
        Option<ServiceId> service,
        Rank rank,
        Option<Integer> timeoutMillis,
        Option<WorkspaceId> workspace,
        Option<String> key,
        Option<IncarnationId> forwardedBy,
        Option<RequestId> requestId) {
    /** The largest accepted timeout, one hour. */
    public static final int MAX_TIMEOUT_MILLIS = 3_600_000;

    private static final Pattern TIMEOUT = Pattern.compile("[1-9][0-9]{0,6}");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");
    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._~:=+-]{1,512}");
    private static final Pattern INCARNATION = Pattern.compile("[0-9a-f]{1,16}");

    /** Creates parameters. */
    public CallParameters {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(timeoutMillis, "timeoutMillis");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(forwardedBy, "forwardedBy");
        Objects.requireNonNull(requestId, "requestId");
    }

    /**
     * Reads the headers of a request.
     *
     * @return the parameters, or the reason for which the request has to be refused: a header that is given
     *     twice or whose value does not have the documented form
     */
    public static Either<RefusalReason, CallParameters> parse(HeaderSource headers) {
        Either<RefusalReason, Option<String>> service =
                singleValue(headers, CallHeaders.SERVICE, NAME, RefusalReason.UNKNOWN_SERVICE);
        Either<RefusalReason, Rank> rank = parseRank(headers);
        Either<RefusalReason, Option<Integer>> timeout = parseTimeout(headers);
        Either<RefusalReason, Option<String>> workspace =
                singleValue(headers, CallHeaders.WORKSPACE, NAME, RefusalReason.BAD_REQUEST);
        Either<RefusalReason, Option<String>> key =
                singleValue(headers, CallHeaders.KEY, KEY, RefusalReason.INVALID_KEY);
        Either<RefusalReason, Option<String>> forwarded =
                singleValue(headers, CallHeaders.FORWARDED, INCARNATION, RefusalReason.BAD_REQUEST);
        Either<RefusalReason, Option<String>> requestId =
                singleValue(headers, CallHeaders.REQUEST_ID, NAME, RefusalReason.BAD_REQUEST);
        for (Either<RefusalReason, ?> parsed :
                List.<Either<RefusalReason, ?>>of(service, rank, timeout, workspace, key, forwarded, requestId)) {
            if (parsed.isLeft()) {
                return Either.left(parsed.getLeft());
            }
        }
        return Either.right(new CallParameters(
                service.get().map(ServiceId::new),
                rank.get(),
                timeout.get(),
                workspace.get().map(WorkspaceId::new),
                key.get(),
                forwarded.get().map(IncarnationId::parse),
                requestId.get().map(RequestId::new)));
    }

    /** Returns the id that the sender chose; empty if there is none or it is malformed. */
    public static Option<RequestId> requestId(HeaderSource headers) {
        return singleValue(headers, CallHeaders.REQUEST_ID, NAME, RefusalReason.BAD_REQUEST)
                .getOrElse(Option.none())
                .map(RequestId::new);
    }

    private static Either<RefusalReason, Rank> parseRank(HeaderSource headers) {
        List<String> values = headers.values(CallHeaders.RANK);
        if (values.isEmpty()) {
            return Either.right(Rank.STANDARD);
        }
        if (values.size() > 1) {
            return Either.left(RefusalReason.INVALID_RANK);
        }
        return Rank.find(values.get(0))
                .<Either<RefusalReason, Rank>>map(Either::right)
                .orElseGet(() -> Either.left(RefusalReason.INVALID_RANK));
    }

    private static Either<RefusalReason, Option<Integer>> parseTimeout(HeaderSource headers) {
        return singleValue(headers, CallHeaders.TIMEOUT_MS, TIMEOUT, RefusalReason.INVALID_TIMEOUT)
                .map(value -> value.map(Integer::valueOf))
                .filterOrElse(
                        value -> value.forAll(millis -> millis <= MAX_TIMEOUT_MILLIS),
                        value -> RefusalReason.INVALID_TIMEOUT);
    }

    private static Either<RefusalReason, Option<String>> singleValue(
            HeaderSource headers, String name, Pattern pattern, RefusalReason reason) {
        List<String> values = headers.values(name);
        if (values.isEmpty()) {
            return Either.right(Option.none());
        }
        if (values.size() > 1 || !pattern.matcher(values.get(0)).matches()) {
            return Either.left(reason);
        }
        return Either.right(Option.of(values.get(0)));
    }
}
