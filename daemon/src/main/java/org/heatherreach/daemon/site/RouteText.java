package org.heatherreach.daemon.site;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.heatherreach.coordination.balance.PoolForecast;
import org.heatherreach.coordination.balance.ServerCost;
import org.heatherreach.coordination.balance.ServerPool;
import org.heatherreach.coordination.quota.QuotaStatus;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.route.HostRoute;
import org.heatherreach.state.route.RouteTarget;
import org.heatherreach.state.workspace.Workspace;
import org.heatherreach.transport.http.CallDialect;
import org.heatherreach.transport.http.RefusalForecast;
import org.heatherreach.transport.http.RouteForecast;

/** Writes the parts of the explanation of a route as JSON. Stateless. */
final class RouteText {
    private static final double THOUSANDTHS = 1000;

    private RouteText() {}

    /** Returns the targets of a route that get requests. */
    static List<RouteTarget> usedTargets(HostRoute route) {
        return route.targets().stream().filter(target -> target.weight() > 0).toList();
    }

    static void describeRoute(ObjectNode node, HostRoute route, Option<Workspace> workspace) {
        node.put("route", route.name())
                .put("prefix", route.prefix())
                .put("workspace", workspace.map(known -> known.id().value()).getOrElse(""))
                .put("priority", workspace.flatMap(Workspace::priority).getOrElse(route.priority()))
                .put("idempotent", route.idempotent())
                .put("maxAttempts", route.attempts());
    }

    static void describeQuota(ObjectNode node, Workspace workspace, String owner, QuotaStatus status) {
        node.putObject("quota")
                .put("requestsPerSecond", workspace.quota().requestsPerSecond())
                .put("burstRequests", workspace.quota().burstRequests())
                .put("heldCredits", status.heldCredits())
                .put("waitingRequests", status.waitingRequests())
                .put("owner", owner)
                .put("ownerReplied", status.ownerReplied())
                .put("decision", status.next().label());
    }

    static void describeRefusal(ObjectNode node, RefusalForecast refusal) {
        ObjectNode described = node.putObject("refusal")
                .put("reason", refusal.reason().label())
                .put("status", refusal.statusCode());
        if (refusal.maxRetryMillis() > 0) {
            described
                    .put("retryAfterMinMillis", refusal.minRetryMillis())
                    .put("retryAfterMaxMillis", refusal.maxRetryMillis());
        }
    }

    /** Describes the services in the order of {@link #usedTargets}. */
    static void describeServices(ObjectNode node, CallDialect dialect, HostRoute route, List<RouteForecast> forecasts) {
        List<RouteTarget> targets = usedTargets(route);
        int sum = targets.stream().mapToInt(RouteTarget::weight).sum();
        ArrayNode services = node.putArray("services");
        for (int i = 0; i < targets.size(); i++) {
            ObjectNode service = services.addObject()
                    .put("service", targets.get(i).service().value())
                    .put("share", rounded((double) targets.get(i).weight() / sum));
            describe(service, dialect, forecasts.get(i));
        }
    }

    private static void describe(ObjectNode node, CallDialect dialect, RouteForecast forecast) {
        forecast.expectedWorkMillis()
                .forEach(millis ->
                        node.put("expectedWorkMillis", rounded(millis)).put("workIsLearned", forecast.workIsLearned()));
        PoolForecast pool = forecast.pool();
        node.put("waitingAhead", pool.waitingAhead());
        if (!pool.candidates().isEmpty()) {
            node.put("decision", "send")
                    .put("server", pool.candidates().get(0).value())
                    .put("why", whyChosen(pool));
        } else if (pool.refusal().isDefined()) {
            PoolForecast.Refusal refusal = pool.refusal().get();
            node.put("decision", "refuse").put("why", "no server can take the request in time");
            describeRefusal(
                    node,
                    RefusalForecast.of(dialect, refusal.reason(), refusal.minRetryMillis(), refusal.maxRetryMillis()));
        } else {
            node.put("decision", "wait").put("why", "no server can take the request at present");
        }
        ArrayNode servers = node.putArray("servers");
        pool.costs().forEach(cost -> describe(servers.addObject(), cost, pool));
    }

    private static String whyChosen(PoolForecast pool) {
        if (pool.candidates().size() == 1) {
            return "the lowest cost, by more than the random part of up to " + ServerPool.maxRandomCost();
        }
        return "the lowest cost; the servers with candidate=true are about equally likely, as their costs differ by"
                + " less than the random part of up to " + ServerPool.maxRandomCost();
    }

    private static void describe(ObjectNode node, ServerCost cost, PoolForecast pool) {
        ServerId server = cost.server();
        node.put("server", server.value())
                .put("usable", cost.usable())
                .put("candidate", pool.candidates().contains(server))
                .put("cost", rounded(cost.total()))
                .put("load", rounded(cost.load()))
                .put("ownSlot", rounded(cost.ownSlot()))
                .put("zone", rounded(cost.zone()))
                .put("cold", rounded(cost.cold()))
                .put("answer", rounded(cost.answer()))
                .put("leaving", rounded(cost.leaving()))
                .put("suspicion", rounded(cost.suspicion()))
                .put("tried", rounded(cost.tried()));
    }

    private static double rounded(double value) {
        return Math.round(value * THOUSANDTHS) / THOUSANDTHS;
    }
}
