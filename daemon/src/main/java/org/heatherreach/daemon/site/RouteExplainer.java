package org.heatherreach.daemon.site;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.quota.QuotaStatus;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.route.HostRoute;
import org.heatherreach.state.route.RoutingTable;
import org.heatherreach.state.workspace.Workspace;
import org.heatherreach.transport.http.CallDialect;
import org.heatherreach.transport.http.CallTerms;
import org.heatherreach.transport.http.EndpointResponse;
import org.heatherreach.transport.http.PooledScheduler;
import org.heatherreach.transport.http.RefusalForecast;
import org.heatherreach.transport.http.RequestTraits;
import org.heatherreach.transport.http.RouteForecast;
import org.heatherreach.transport.http.RouteQuestion;
import org.heatherreach.transport.http.ServingGate;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Explains where a request would go now, without sending it.
 *
 * <p>Invariant: a question changes nothing that a decision depends on; it takes no credit and counts as no request. The
 * refusal of requests that crash servers is left out, since it depends on the body and the address of the caller.
 *
 * <p>Thread safety: safe for use by any thread. The state of a duty is read by its own thread.
 */
final class RouteExplainer {
    /** The path of the endpoint. */
    static final String PATH = "/heatherreach/explain-route";

    /** Shorter than the time that the operators' command waits for the response. */
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    /** How long a caller that states no deadline waits. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

    private final ObjectMapper mapper = new ObjectMapper();
    private final TableInUse table;
    private final CallDialect dialect;
    private final ServingGate gate;
    private final long maxBodyBytes;
    private final PooledScheduler scheduler;
    private final Option<SiteQuotas> quotas;

    /**
     * Creates an explainer.
     *
     * @param maxBodyBytes the limit of bodies that applies beside that of the routing table
     */
    RouteExplainer(
            TableInUse table,
            CallDialect dialect,
            ServingGate gate,
            long maxBodyBytes,
            PooledScheduler scheduler,
            Option<SiteQuotas> quotas) {
        this.table = Objects.requireNonNull(table, "table");
        this.dialect = Objects.requireNonNull(dialect, "dialect");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.maxBodyBytes = maxBodyBytes;
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.quotas = Objects.requireNonNull(quotas, "quotas");
    }

    /** Returns whether a target belongs to this endpoint. */
    static boolean isTarget(String target) {
        return target.equals(PATH) || target.startsWith(PATH + "?");
    }

    /** Returns the response to a question. */
    Mono<EndpointResponse> answer(String target) {
        Either<String, RouteQuery> query = RouteQuery.parse(target);
        if (query.isLeft()) {
            return Mono.just(error(400, query.getLeft()));
        }
        return explain(query.get())
                .map(explanation -> EndpointResponse.json(200, explanation.toString()))
                .timeout(TIMEOUT)
                .onErrorResume(failure -> Mono.just(error(
                        503,
                        failure instanceof TimeoutException || failure instanceof OverloadException
                                ? "the daemon is overloaded"
                                : "the daemon failed to explain the request")));
    }

    private Mono<ObjectNode> explain(RouteQuery query) {
        Option<RoutingTable> known = table.table();
        ObjectNode explanation = mapper.createObjectNode()
                .put("tableVersion", known.map(RoutingTable::version).getOrElse(0L));
        Option<HostRoute> found = known.flatMap(routes -> routes.find(query.host(), query.path()));
        Option<Workspace> workspace = query.workspace()
                .flatMap(id -> known.flatMap(routes -> routes.workspaces().find(id)));
        found.forEach(route -> RouteText.describeRoute(explanation, route, workspace));
        if (query.workspace().isDefined() && workspace.isEmpty()) {
            explanation.put("note", "the routing table has no workspace of this name");
        }
        Option<RefusalReason> refusal = refusalOf(query, known, found, workspace);
        if (refusal.isDefined()) {
            RouteText.describeRefusal(explanation, RefusalForecast.of(dialect, refusal.get(), 0, 0));
            return Mono.just(explanation);
        }
        HostRoute route = found.get();
        return describeQuota(explanation, workspace)
                .then(askServices(query, route, workspace))
                .map(forecasts -> {
                    RouteText.describeServices(explanation, dialect, route, forecasts);
                    return explanation;
                });
    }

    /** Returns the refusal before a quota or a server is considered, in the order of the request path. */
    private Option<RefusalReason> refusalOf(
            RouteQuery query, Option<RoutingTable> known, Option<HostRoute> route, Option<Workspace> workspace) {
        Option<RefusalReason> ofGate = gate.refusal();
        if (ofGate.isDefined()) {
            return ofGate;
        }
        if (known.isEmpty()) {
            return Option.some(RefusalReason.NO_TABLE);
        }
        if (route.isEmpty()) {
            return Option.some(unlessOutdated(RefusalReason.UNKNOWN_SERVICE));
        }
        boolean needsKey = !known.get().workspaces().isEmpty() && !route.get().anonymous();
        if (needsKey && table.isStale()) {
            return Option.some(RefusalReason.TABLE_OUTDATED);
        }
        if (needsKey && workspace.isEmpty()) {
            return Option.some(unlessOutdated(RefusalReason.UNKNOWN_API_KEY));
        }
        boolean tooLarge = query.bodyBytes() > maxBodyBytes
                || query.bodyBytes() > known.get().limits().bodyBytes();
        return tooLarge ? Option.some(RefusalReason.BODY_TOO_LARGE) : Option.none();
    }

    private RefusalReason unlessOutdated(RefusalReason reason) {
        return table.isOutdated() ? RefusalReason.TABLE_OUTDATED : reason;
    }

    private Mono<Void> describeQuota(ObjectNode explanation, Option<Workspace> workspace) {
        Option<Workspace> limited = workspace.filter(each -> each.quota().isLimited());
        if (limited.isEmpty()) {
            return Mono.empty();
        }
        if (quotas.isEmpty()) {
            explanation.put("quota", "not enforced by this daemon");
            return Mono.empty();
        }
        return Mono.<QuotaStatus>create(sink -> {
                    if (!quotas.get().explain(limited.get().id(), sink::success)) {
                        sink.error(new OverloadException());
                    }
                })
                .publishOn(Schedulers.parallel())
                .doOnNext(status -> {
                    RouteText.describeQuota(
                            explanation,
                            limited.get(),
                            quotas.get().ownerLabel(limited.get().id()),
                            status);
                    if (status.next() == QuotaStatus.Next.REFUSE) {
                        RouteText.describeRefusal(
                                explanation,
                                RefusalForecast.of(
                                        dialect,
                                        RefusalReason.WORKSPACE_LIMIT,
                                        status.retryMillis(),
                                        status.retryMillis()));
                    }
                })
                .then();
    }

    private Mono<List<RouteForecast>> askServices(RouteQuery query, HostRoute route, Option<Workspace> workspace) {
        CallTerms terms = new CallTerms(
                route.idempotent(),
                route.idempotent(),
                route.largeMessages(),
                route.attempts(),
                workspace.flatMap(Workspace::priority).getOrElse(route.priority()),
                route.targetLatencyMillis(),
                route.name());
        RequestTraits traits = new RequestTraits(route.name(), query.method(), query.bodyBytes());
        return Flux.fromIterable(RouteText.usedTargets(route))
                .concatMap(target -> ask(new RouteQuestion(
                        target.service(), workspace.map(Workspace::id), timeoutMillis(route), terms, traits)))
                .collectList();
    }

    private Mono<RouteForecast> ask(RouteQuestion question) {
        return Mono.<RouteForecast>create(sink -> {
                    if (!scheduler.explain(question, sink::success)) {
                        sink.error(new OverloadException());
                    }
                })
                .publishOn(Schedulers.parallel());
    }

    private static long timeoutMillis(HostRoute route) {
        return route.timeoutMillis() > 0
                ? Math.min(DEFAULT_TIMEOUT_MILLIS, route.timeoutMillis())
                : DEFAULT_TIMEOUT_MILLIS;
    }

    private EndpointResponse error(int statusCode, String reason) {
        return EndpointResponse.json(
                statusCode, mapper.createObjectNode().put("error", reason).toString());
    }

    /** Signals that a duty accepts no question at present. */
    private static final class OverloadException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private OverloadException() {
            super("a duty accepts no events", null, false, false);
        }
    }
}
