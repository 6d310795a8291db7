package org.heatherreach.daemon.fleet;

import java.util.List;

import io.vavr.control.Option;
import net.jqwik.api.Example;
import org.heatherreach.daemon.RequestIdSource;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.transport.http.EndedRequest;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.FailureKind;
import org.heatherreach.transport.http.RequestEnding;
import org.heatherreach.transport.http.RequestHistory;
import org.heatherreach.transport.http.ServerAttempt;

import static org.assertj.core.api.Assertions.assertThat;

class RequestExplainerTest {
    // Guards against reporting an id as too old that this process never issued, or an issued id as unknown.
    @Example
    void onlyIssuedIdsAreKnown() {
        RequestIdSource source = new RequestIdSource(new IncarnationId(-1));
        assertThat(source.get().value()).isEqualTo("ffffffffffffffff-1");
        source.get();
        assertThat(source.hasIssued("ffffffffffffffff-2")).isTrue();
        for (String other : List.of("ffffffffffffffff-3", "ffffffffffffffff-0", "ffffffffffffffff-", "ff-1", "s1")) {
            assertThat(source.hasIssued(other)).as(other).isFalse();
        }
    }

    // Guards against renaming or omitting fields that scripts read.
    @Example
    void explanationHasEveryField() {
        RequestHistory history = new RequestHistory(1);
        history.add(new EndedRequest(
                new RequestId("r-1"),
                "certdesk",
                "urgent",
                "north",
                0,
                1_000,
                2_500_000,
                RequestEnding.CALLER_LEFT,
                "",
                "",
                List.of(
                        new ServerAttempt(
                                "s1",
                                Option.none(),
                                250_000,
                                Option.some(new ExchangeResult(Outcome.NOT_RUN, 1_000_000, FailureKind.SHED))),
                        new ServerAttempt("s2", Option.none(), 1_500_000, Option.none()))));
        String expected = "[{'request':'r-1','service':'certdesk','rank':'urgent','workspace':'north',"
                + "'arrived':'1970-01-01T00:00:01Z','durationMillis':2.5,'ending':'caller-left','outcome':'',"
                + "'reason':'','attempts':[{'server':'s1','waitMillis':0.25,'failure':'shed','outcome':'not-run',"
                + "'latencyMillis':1.0},{'server':'s2','waitMillis':1.5,'failure':'in-progress','outcome':'',"
                + "'latencyMillis':null}]}]";
        RequestExplainer explainer = new RequestExplainer(new RequestIdSource(new IncarnationId(1)), history);
        assertThat(explainer.explain("r-1").toString()).isEqualTo(expected.replace('\'', '"'));
        assertThat(explainer.explain("r-2")).isEmpty();
    }
}
