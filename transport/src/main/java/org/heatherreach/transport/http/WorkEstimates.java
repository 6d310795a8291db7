package org.heatherreach.transport.http;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.LoadMeasure;
import org.heatherreach.coordination.work.WorkEstimate;
import org.heatherreach.coordination.work.WorkEstimator;
import org.heatherreach.coordination.work.WorkKey;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;

/**
 * The estimates of the work of submissions and questions.
 *
 * <p>Invariant: every estimate is unknown, and the estimator is not used, unless loads are measured by the expected
 * work.
 *
 * <p>Confined to one duty thread.
 */
final class WorkEstimates {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadMeasure measure;
    private final WorkEstimator estimator;

    WorkEstimates(LoadMeasure measure, WorkEstimator estimator) {
        this.measure = Objects.requireNonNull(measure, "measure");
        this.estimator = Objects.requireNonNull(estimator, "estimator");
    }

    /** Returns the estimate of a submission. */
    WorkEstimate estimate(Submission submission, long nowNanos) {
        if (measure != LoadMeasure.EXPECTED_WORK) {
            return WorkEstimate.unknown();
        }
        return estimator.estimate(keyOf(submission.service(), submission.workspace(), submission.traits()), nowNanos);
    }

    /** Returns the estimate of a request that is not submitted. Changes nothing. */
    WorkEstimate peek(RouteQuestion question, long nowNanos) {
        if (measure != LoadMeasure.EXPECTED_WORK) {
            return WorkEstimate.unknown();
        }
        return estimator.peek(keyOf(question.service(), question.workspace(), question.traits()), nowNanos);
    }

    /**
     * Returns the state of the estimates.
     *
     * @param leftNanos the time that the servers need for the requests that this daemon sent
     */
    WorkStatus status(double leftNanos) {
        return new WorkStatus(estimator.meanError(), leftNanos / NANOS_PER_SECOND, estimator.keyCount());
    }

    private static WorkKey keyOf(ServiceId service, Option<WorkspaceId> workspace, RequestTraits traits) {
        return new WorkKey(
                service,
                traits.route(),
                workspace.map(WorkspaceId::value).getOrElse(""),
                traits.method(),
                WorkKey.sizeClassOf(traits.bodyBytes()));
    }
}
