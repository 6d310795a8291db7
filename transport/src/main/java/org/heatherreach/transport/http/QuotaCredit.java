package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.heatherreach.state.workspace.Workspace;

/**
 * The credit of one request against the quota of its workspace.
 *
 * <p>Invariant: an admission is either spent or refunded once, also if it arrives after the request has ended.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class QuotaCredit {
    private enum State {
        /** No credit has been requested. */
        NONE,
        WAITING,
        HELD,
        /** The request was sent to a server, needs no credit, or has ended. */
        CLOSED
    }

    private final WorkspaceAdmission admission;
    private final Option<Workspace> workspace;
    private final AtomicReference<State> state;
    private volatile long ticket;

    QuotaCredit(WorkspaceAdmission admission, Option<Workspace> workspace) {
        this.admission = Objects.requireNonNull(admission, "admission");
        this.workspace = workspace.filter(each -> each.quota().isLimited());
        this.state = new AtomicReference<>(this.workspace.isDefined() ? State.NONE : State.CLOSED);
    }

    /** Returns whether the request needs a credit and has not asked for one yet. */
    boolean isMissing() {
        return state.get() == State.NONE;
    }

    void obtain(long requestTicket, long deadlineNanos, Consumer<AdmissionDecision> listener) {
        ticket = requestTicket;
        if (!state.compareAndSet(State.NONE, State.WAITING)) {
            return;
        }
        admission.admit(requestTicket, workspace.get(), deadlineNanos, decision -> {
            boolean admitted = decision instanceof AdmissionDecision.Admit;
            if (state.compareAndSet(State.WAITING, admitted ? State.HELD : State.CLOSED)) {
                listener.accept(decision);
            } else if (admitted) {
                admission.refund(workspace.get().id());
            }
        });
    }

    /** Marks the credit as used, because the request was sent to a server. */
    void spend() {
        state.compareAndSet(State.HELD, State.CLOSED);
    }

    /** Gives the credit back unless it was spent, or withdraws the request for it. */
    void release() {
        State before = state.getAndSet(State.CLOSED);
        if (before == State.WAITING) {
            admission.cancel(ticket);
        } else if (before == State.HELD) {
            admission.refund(workspace.get().id());
        }
    }
}
